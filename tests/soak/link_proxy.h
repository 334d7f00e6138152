#pragma once

#include "tests/soak/node_id.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace chervilport::soak {

class link_table;
class proxy_session;

/// Forwards TCP connections to one node and applies the faults of the link table to them.
class link_proxy {
public:
    /// Returns the node that opened a connection, identified by the two ports.
    using source_resolver = std::function<node_id(std::uint16_t sourcePort, std::uint16_t proxyPort)>;

    /// Listens at `listen` and forwards connections to `target`, the address of the node `owner`.
    link_proxy(asio::io_context&, const link_table&, node_id owner, const asio::ip::tcp::endpoint& listen,
        const asio::ip::tcp::endpoint& target, source_resolver);

    /// Resets all connections that the other node has opened.
    void reset(node_id other);

    /// Stops forwarding on all open connections of the other node, without closing them. New connections work.
    void silence(node_id other);

    /// Returns the address on which the proxy listens.
    asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    void accept();
    std::vector<std::shared_ptr<proxy_session>> openSessions(node_id other);

    asio::io_context& m_context;
    const link_table& m_links;
    node_id m_owner;
    asio::ip::tcp::endpoint m_target;
    source_resolver m_resolveSource;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<proxy_session>> m_sessions;
};

} // namespace chervilport::soak
