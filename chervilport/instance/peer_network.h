#pragma once

#include "chervilport/instance/control_call.h"
#include "chervilport/instance/forward_outcome.h"
#include "chervilport/settings/settings.h"
#include "chervilport/transport/envelope.h"
#include "chervilport/transport/peer_address.h"
#include "chervilport/transport/transport_counters.h"

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

/// What the link to the other instances passes on; called on the control thread.
struct peer_network_hooks {
    /// Takes a replication message.
    std::function<void(replication_scope, const message&)> receive;
    /// Takes a notice.
    std::function<void(std::uint64_t instance, const std::string& notice)> receiveNotice;
    /// Tells which configuration version a peer has.
    std::function<void(std::uint64_t instance, std::uint64_t version)> observeConfiguration;
    /// Answers a call that a peer forwarded.
    std::function<void(std::shared_ptr<control_call>)> serve;
    /// Tells that the outgoing connection to a peer was established or lost; may be empty.
    std::function<void(std::uint64_t instance, bool connected)> connectionChanged = {};
};

/// The link of the control thread to the other instances over peer_transport. All functions are called on that thread.
class peer_network : public std::enable_shared_from_this<peer_network> {
public:
    /// Creates a link that is not started.
    peer_network(asio::io_context&, const settings&, std::uint64_t incarnation, peer_network_hooks);
    ~peer_network();

    /// Starts to listen and to connect to the instances of the settings. Throws chervilport_error.
    void start();

    /// Replaces the peers. One that stays keeps its connection.
    void setPeers(std::vector<peer_address>);

    /// Ends all connections.
    void stop();

    /// Sends replication messages; they may be lost.
    void send(replication_scope, std::vector<message>);

    /// Sends a notice to all given instances; it may be lost.
    void notify(std::span<const std::uint64_t> instances, const std::string& notice);

    /// Forwards a call; `done` runs once, on the control thread.
    void forward(std::uint64_t instance, const control_call&, std::function<void(forward_outcome)> done);

    /// Sets the configuration that peers learn of and can fetch.
    void publishConfiguration(std::uint64_t version, std::string content);

    /// Sends the published version to the given instances at once.
    void announceConfiguration(std::span<const std::uint64_t> instances);

    /// Asks a peer for a configuration newer than `known`; `done` runs once, on the control thread, with its version
    /// and content, or with version 0 when there is none or the peer did not answer.
    void fetchConfiguration(std::uint64_t instance, std::uint64_t known,
        std::function<void(std::uint64_t version, std::string content)> done);

    /// Returns counters of the traffic with each peer.
    transport_counters counters() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
