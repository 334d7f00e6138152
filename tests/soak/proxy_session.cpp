#include "tests/soak/proxy_session.h"

#include "tests/soak/link_table.h"

#include <asio/write.hpp>
#include <chrono>
#include <utility>

namespace chervilport::soak {

namespace {

    /// Time between two looks whether a cut has ended.
    constexpr std::chrono::milliseconds cutPoll { 20 };

} // namespace

proxy_session::proxy_session(
    asio::io_context& context, const link_table& links, node_id source, node_id target, asio::ip::tcp::socket dialer)
    : m_links(links)
    , m_dialer(std::move(dialer))
    , m_target(context)
    , m_toTarget { m_dialer, m_target, source, target, asio::steady_timer(context) }
    , m_toDialer { m_target, m_dialer, target, source, asio::steady_timer(context) }
{
}

void proxy_session::start(const asio::ip::tcp::endpoint& target) { connectWhenOpen(target); }

void proxy_session::connectWhenOpen(const asio::ip::tcp::endpoint& target)
{
    if (!m_dialer.is_open())
        return;
    if (m_links.isCut(m_toTarget.from, m_toTarget.to)) {
        m_toTarget.timer.expires_after(cutPoll);
        m_toTarget.timer.async_wait(
            [self = shared_from_this(), target](const std::error_code&) { self->connectWhenOpen(target); });
        return;
    }
    m_target.async_connect(target, [self = shared_from_this()](const std::error_code& error) {
        if (error) {
            // Nobody listens: the caller sees a reset, as without the proxy.
            self->reset();
            return;
        }
        std::error_code ignored;
        self->m_target.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_dialer.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read(self->m_toTarget);
        self->read(self->m_toDialer);
    });
}

void proxy_session::read(direction& way)
{
    way.in.async_read_some(
        asio::buffer(way.buffer), [self = shared_from_this(), &way](const std::error_code& error, std::size_t bytes) {
            if (error)
                self->close();
            else
                self->delayThenWrite(way, bytes);
        });
}

void proxy_session::delayThenWrite(direction& way, std::size_t bytes)
{
    const auto delay = m_links.delay(way.from, way.to);
    if (delay.count() == 0) {
        writeWhenOpen(way, bytes);
        return;
    }
    way.timer.expires_after(delay);
    way.timer.async_wait(
        [self = shared_from_this(), &way, bytes](const std::error_code&) { self->writeWhenOpen(way, bytes); });
}

void proxy_session::writeWhenOpen(direction& way, std::size_t bytes)
{
    if (!way.out.is_open())
        return;
    if (!m_silent && !m_links.isCut(way.from, way.to)) {
        write(way, bytes);
        return;
    }
    way.timer.expires_after(cutPoll);
    way.timer.async_wait(
        [self = shared_from_this(), &way, bytes](const std::error_code&) { self->writeWhenOpen(way, bytes); });
}

void proxy_session::write(direction& way, std::size_t bytes)
{
    asio::async_write(way.out, asio::buffer(way.buffer.data(), bytes),
        [self = shared_from_this(), &way](const std::error_code& error, std::size_t) {
            if (error)
                self->close();
            else
                self->read(way);
        });
}

void proxy_session::reset()
{
    std::error_code ignored;
    m_dialer.set_option(asio::socket_base::linger(true, 0), ignored);
    m_target.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void proxy_session::close()
{
    std::error_code ignored;
    m_dialer.close(ignored);
    m_target.close(ignored);
}

} // namespace chervilport::soak
