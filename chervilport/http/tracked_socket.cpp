#include "chervilport/http/tracked_socket.h"

#include <cassert>
#include <vector>

namespace chervilport {

asio::execution_context::id socket_registry::id;

socket_registry::socket_registry(asio::execution_context& context)
    : asio::execution_context::service(context)
{
}

void socket_registry::shutdown()
{
    for (auto& [endpoints, socket] : m_sockets)
        socket->m_registry = nullptr;
    m_sockets.clear();
    m_counts.clear();
}

void socket_registry::add(tracked_socket& socket)
{
    socket.m_serial = ++m_lastSerial;
    const bool isNew = m_sockets.insert_or_assign(socket.m_key, &socket).second;
    m_counts[socket.m_key.first] += isNew ? 1 : 0;
}

void socket_registry::remove(tracked_socket& socket)
{
    const auto found = m_sockets.find(socket.m_key);
    // The endpoints of a closed connection may already be used by a newer connection.
    if (found == m_sockets.end() || found->second != &socket)
        return;
    --m_counts[socket.m_key.first];
    m_sockets.erase(found);
}

tracked_socket* socket_registry::find(std::uint16_t localPort, const asio::ip::tcp::endpoint& remote) const
{
    const auto found = m_sockets.find({ localPort, remote });
    return found == m_sockets.end() ? nullptr : found->second;
}

std::size_t socket_registry::count(std::uint16_t localPort) const
{
    const auto found = m_counts.find(localPort);
    return found == m_counts.end() ? 0 : found->second;
}

void socket_registry::forEach(std::uint16_t localPort, const std::function<void(tracked_socket&)>& visit) const
{
    std::vector<tracked_socket*> sockets;
    for (auto entry = m_sockets.lower_bound({ localPort, {} });
         entry != m_sockets.end() && entry->first.first == localPort; ++entry)
        sockets.push_back(entry->second);
    for (auto* const socket : sockets)
        visit(*socket);
}

tracked_socket::tracked_socket(asio::io_context& context)
    : asio::ip::tcp::socket(context)
{
}

// RESTinio moves sockets only before the first read, while they are not yet tracked.
tracked_socket::tracked_socket(tracked_socket&& other) noexcept
    : asio::ip::tcp::socket(std::move(static_cast<asio::ip::tcp::socket&>(other)))
{
    assert(!other.m_registry);
}

tracked_socket& tracked_socket::operator=(tracked_socket&& other) noexcept
{
    assert(!m_registry && !other.m_registry);
    asio::ip::tcp::socket::operator=(std::move(static_cast<asio::ip::tcp::socket&>(other)));
    return *this;
}

tracked_socket::~tracked_socket()
{
    if (m_registry)
        m_registry->remove(*this);
}

void tracked_socket::track()
{
    if (m_registry)
        return;
    asio::error_code error;
    const auto local = local_endpoint(error);
    const auto remote = remote_endpoint(error);
    if (error)
        return;
    m_key = { local.port(), remote };
    m_registry = &asio::use_service<socket_registry>(
        static_cast<asio::io_context&>(asio::query(get_executor(), asio::execution::context)));
    m_registry->add(*this);
}

void tracked_socket::beginRequest()
{
    m_isReading = false;
    ++m_requests;
}

void tracked_socket::endRequest()
{
    assert(m_requests > 0);
    --m_requests;
}

void tracked_socket::closeIdle()
{
    asio::error_code ignored;
    shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
}

} // namespace chervilport
