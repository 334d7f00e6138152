#include "tests/soak/link_proxy.h"

#include "tests/soak/link_table.h"
#include "tests/soak/proxy_session.h"

namespace chervilport::soak {

link_proxy::link_proxy(asio::io_context& context, const link_table& links, node_id owner,
    const asio::ip::tcp::endpoint& listen, const asio::ip::tcp::endpoint& target, source_resolver source)
    : m_context(context)
    , m_links(links)
    , m_owner(owner)
    , m_target(target)
    , m_resolveSource(std::move(source))
    , m_acceptor(context, listen)
{
    accept();
}

void link_proxy::accept()
{
    m_acceptor.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            std::error_code remoteError;
            const auto remote = socket.remote_endpoint(remoteError);
            const auto from
                = remoteError ? node_id {} : m_resolveSource(remote.port(), m_acceptor.local_endpoint().port());
            auto session = std::make_shared<proxy_session>(m_context, m_links, from, m_owner, std::move(socket));
            std::erase_if(m_sessions, [](const auto& each) { return each.expired(); });
            m_sessions.push_back(session);
            session->start(m_target);
        }
        accept();
    });
}

std::vector<std::shared_ptr<proxy_session>> link_proxy::openSessions(node_id other)
{
    std::vector<std::shared_ptr<proxy_session>> open;
    for (const auto& each : m_sessions) {
        auto session = each.lock();
        if (session && session->source() == other)
            open.push_back(std::move(session));
    }
    return open;
}

void link_proxy::reset(node_id other)
{
    for (const auto& session : openSessions(other))
        session->reset();
}

void link_proxy::silence(node_id other)
{
    for (const auto& session : openSessions(other))
        session->silence();
}

} // namespace chervilport::soak
