#pragma once

#include "chervilport/control/leader_relay.h"
#include "chervilport/control/node_settings.h"
#include "chervilport/http/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace chervilport {

class peer_network;

/// A stateless instance that accepts calls and relays them to the leader of the control group. It caches nothing about
/// jobs, keys or configuration, so it cannot act on outdated data.
class entry_node {
public:
    /// Creates an instance that is not started.
    entry_node(asio::io_context&, const node_settings&);
    ~entry_node();

    /// Listens for other instances and starts the search for the leader. Throws chervilport_error.
    void start();

    /// Replaces the seeds.
    void setSeeds(const std::vector<peer_address>&);

    /// Stops the relay and the network.
    void stop();

    /// Relays a call to the leader; the callback runs by the deadline. `name` identifies the call in the log.
    void relay(http_request, std::string name, log_time deadline, leader_relay::callback);

    /// Returns whether a leader responded recently, so that calls can be accepted.
    bool isReady() const;

private:
    void updatePeers();

    asio::io_context& m_context;
    node_settings m_settings;
    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<leader_relay> m_relay;
};

} // namespace chervilport
