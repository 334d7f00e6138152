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

/// An instance without state that takes calls and passes them on to the leader of the control group. It believes
/// nothing about jobs, keys or configuration, so that nothing it believes can be out of date.
class entry_node {
public:
    /// Creates an instance that is not started.
    entry_node(asio::io_context&, const node_settings&);
    ~entry_node();

    /// Listens for other instances and looks for the leader. Throws chervilport_error.
    void start();

    /// Takes other seeds.
    void setSeeds(const std::vector<peer_address>&);

    /// Ends all work.
    void stop();

    /// Passes a call on; the answer comes at the latest at the deadline.
    void relay(http_request, std::string name, log_time deadline, leader_relay::callback);

    /// Returns whether a leader answered lately, so that calls can be taken.
    bool isReady() const;

private:
    void updatePeers();

    asio::io_context& m_context;
    node_settings m_settings;
    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<leader_relay> m_relay;
};

} // namespace chervilport
