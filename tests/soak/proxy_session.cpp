#include "tests/soak/proxy_session.h"

#include "tests/soak/link_table.h"

#include <asio/write.hpp>
#include <chrono>
#include <utility>

namespace chervilport::soak {

namespace {

    /// Interval of the checks whether a cut has ended.
    constexpr std::chrono::milliseconds cutPollInterval { 20 };

} // namespace

proxy_session::proxy_session(asio::io_context& context, const link_table& links, node_id source, node_id target,
    asio::ip::tcp::socket sourceSocket)
    : m_links(links)
    , m_sourceSocket(std::move(sourceSocket))
    , m_targetSocket(context)
    , m_toTarget { m_sourceSocket, m_targetSocket, source, target, asio::steady_timer(context) }
    , m_toSource { m_targetSocket, m_sourceSocket, target, source, asio::steady_timer(context) }
{
}

void proxy_session::start(const asio::ip::tcp::endpoint& target) { connectWhenOpen(target); }

void proxy_session::connectWhenOpen(const asio::ip::tcp::endpoint& target)
{
    if (!m_sourceSocket.is_open())
        return;
    if (m_links.isCut(m_toTarget.from, m_toTarget.to)) {
        m_toTarget.timer.expires_after(cutPollInterval);
        m_toTarget.timer.async_wait(
            [self = shared_from_this(), target](const std::error_code&) { self->connectWhenOpen(target); });
        return;
    }
    m_targetSocket.async_connect(target, [self = shared_from_this()](const std::error_code& error) {
        if (error) {
            // Nothing listens at the target: reset the source, as it would be without the proxy.
            self->reset();
            return;
        }
        std::error_code ignored;
        self->m_targetSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_sourceSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read(self->m_toTarget);
        self->read(self->m_toSource);
    });
}

void proxy_session::read(direction& flow)
{
    flow.in.async_read_some(
        asio::buffer(flow.buffer), [self = shared_from_this(), &flow](const std::error_code& error, std::size_t bytes) {
            if (error)
                self->close();
            else
                self->delayThenWrite(flow, bytes);
        });
}

void proxy_session::delayThenWrite(direction& flow, std::size_t bytes)
{
    const auto delay = m_links.delay(flow.from, flow.to);
    if (delay.count() == 0) {
        writeWhenOpen(flow, bytes);
        return;
    }
    flow.timer.expires_after(delay);
    flow.timer.async_wait(
        [self = shared_from_this(), &flow, bytes](const std::error_code&) { self->writeWhenOpen(flow, bytes); });
}

void proxy_session::writeWhenOpen(direction& flow, std::size_t bytes)
{
    if (!flow.out.is_open())
        return;
    if (!m_isSilent && !m_links.isCut(flow.from, flow.to)) {
        write(flow, bytes);
        return;
    }
    flow.timer.expires_after(cutPollInterval);
    flow.timer.async_wait(
        [self = shared_from_this(), &flow, bytes](const std::error_code&) { self->writeWhenOpen(flow, bytes); });
}

void proxy_session::write(direction& flow, std::size_t bytes)
{
    asio::async_write(flow.out, asio::buffer(flow.buffer.data(), bytes),
        [self = shared_from_this(), &flow](const std::error_code& error, std::size_t) {
            if (error)
                self->close();
            else
                self->read(flow);
        });
}

void proxy_session::reset()
{
    std::error_code ignored;
    m_sourceSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_targetSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void proxy_session::close()
{
    std::error_code ignored;
    m_sourceSocket.close(ignored);
    m_targetSocket.close(ignored);
}

} // namespace chervilport::soak
