#pragma once

#include "tests/soak/node_id.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <memory>

namespace chervilport::soak {

class link_table;

/// One forwarded connection. Pending operations own the session until one side closes.
class proxy_session : public std::enable_shared_from_this<proxy_session> {
public:
    /// Takes ownership of the socket of a connection that `source` has opened to `target`.
    proxy_session(
        asio::io_context&, const link_table&, node_id source, node_id target, asio::ip::tcp::socket sourceSocket);

    /// Connects to the target, once the link is not cut, and starts to forward.
    void start(const asio::ip::tcp::endpoint&);

    /// Resets both sides.
    void reset();

    /// Stops forwarding; both sides stay open.
    void silence() { m_isSilent = true; }

    /// Returns the node that opened the connection.
    node_id source() const { return m_toTarget.from; }

private:
    static constexpr std::size_t bufferBytes = std::size_t { 16 } * 1024;

    /// State of one direction of the connection.
    struct direction {
        asio::ip::tcp::socket& in;
        asio::ip::tcp::socket& out;
        node_id from;
        node_id to;
        asio::steady_timer timer;
        std::array<char, bufferBytes> buffer {};
    };

    void connectWhenOpen(const asio::ip::tcp::endpoint&);
    void read(direction&);
    void delayThenWrite(direction&, std::size_t bytes);
    void writeWhenOpen(direction&, std::size_t bytes);
    void write(direction&, std::size_t bytes);
    void close();

    const link_table& m_links;
    asio::ip::tcp::socket m_sourceSocket;
    asio::ip::tcp::socket m_targetSocket;
    direction m_toTarget;
    direction m_toSource;
    bool m_isSilent = false;
};

} // namespace chervilport::soak
