#pragma once

#include "chervilport/instance/control_call.h"
#include "chervilport/instance/forward_outcome.h"
#include "chervilport/settings/settings.h"
#include "chervilport/transport/envelope.h"
#include "chervilport/transport/peer_address.h"
#include "chervilport/transport/transport_counters.h"
#include "chervilport/transport/transport_limits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

/// Handlers of events from other instances; called on the control thread.
struct peer_network_hooks {
    /// Handles a replication message.
    std::function<void(replication_scope, const message&)> receive;
    /// Handles a notice.
    std::function<void(std::uint64_t instance, const std::string& notice)> receiveNotice;
    /// Called with the configuration version that a peer has.
    std::function<void(std::uint64_t instance, std::uint64_t version)> observeConfiguration;
    /// Serves a call that a peer forwarded.
    std::function<void(std::shared_ptr<control_call>)> serve;
    /// Called when the outgoing connection to a peer is established or lost; may be empty.
    std::function<void(std::uint64_t instance, bool connected)> connectionChanged = {};
    /// Returns whether the connection of an instance that is not a peer always gets a place; may be empty. The only
    /// hook that is called on the transport thread.
    std::function<bool(std::uint64_t instance)> hasReservedPlace = {};
};

/// Connects the control thread to the other instances over peer_transport. All functions are called on that thread.
class peer_network : public std::enable_shared_from_this<peer_network> {
public:
    /// Creates a network that is not started. Throws chervilport_error when the secret file cannot be read.
    peer_network(
        asio::io_context&, const settings&, std::uint64_t incarnation, peer_network_hooks, transport_limits = {});
    ~peer_network();

    /// Starts listening and connecting to the instances of the settings. Throws chervilport_error.
    void start();

    /// Replaces the peers. Peers in both the old and the new list keep their connection.
    void setPeers(std::vector<peer_address>);

    /// Closes all connections.
    void stop();

    /// Sends replication messages; they may be lost.
    void send(replication_scope, std::vector<message>);

    /// Sends a notice to all given instances; it may be lost.
    void notify(std::span<const std::uint64_t> instances, const std::string& notice);

    /// Forwards a call; `done` runs once, on the control thread.
    void forward(std::uint64_t instance, const control_call&, std::function<void(forward_outcome)> done);

    /// Sets the configuration whose version is sent to peers and which they can fetch.
    void publishConfiguration(std::uint64_t version, std::string content);

    /// Sends the published version to the given instances at once.
    void announceConfiguration(std::span<const std::uint64_t> instances);

    /// Requests a configuration newer than `known` from a peer; `done` runs once, on the control thread, with its
    /// version and content, or with version 0 when there is none or the peer did not respond.
    void fetchConfiguration(std::uint64_t instance, std::uint64_t known,
        std::function<void(std::uint64_t version, std::string content)> done);

    /// Returns counters of the traffic with each peer.
    transport_counters counters() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
