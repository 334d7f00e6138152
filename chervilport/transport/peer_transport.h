#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/transport/configuration_copy.h"
#include "chervilport/transport/envelope.h"
#include "chervilport/transport/forward_call.h"
#include "chervilport/transport/peer_address.h"
#include "chervilport/transport/transport_callbacks.h"
#include "chervilport/transport/transport_counters.h"
#include "chervilport/transport/transport_identity.h"
#include "chervilport/transport/transport_limits.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace chervilport {

/// Receives the configuration of a peer, or nothing when the peer did not respond within the timeout. Called exactly
/// once, on the same threads as `forward_callback`.
using configuration_callback = std::function<void(std::optional<configuration_copy>)>;

/// Cap'n Proto RPC with the other instances, on its own event loop thread. All functions are safe on any thread, except
/// that `start` and `stop` must not be called on the transport thread. A transport is started at most once.
class peer_transport {
public:
    /// Creates a stopped transport.
    explicit peer_transport(transport_identity, transport_callbacks, transport_limits = {});
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    /// Stops the transport.
    ~peer_transport();

    /// Listens on the given numeric IP address and port and starts to connect to the peers. Port 0 selects a free port.
    /// Throws chervilport_error: `InvalidRequest` for an address that is not numeric, `Unavailable` when listening on
    /// the address fails.
    void start(std::string_view ip, std::uint16_t port, std::vector<peer_address> peers);

    /// Returns the port of the listener; 0 before `start`.
    std::uint16_t port() const;

    /// Replaces the peers. A peer whose address is unchanged keeps its connection and queue. Throws chervilport_error
    /// `InvalidRequest` for an address that is not a numeric IP address; the peers are then unchanged.
    void setPeers(std::vector<peer_address> peers);

    /// Queues an envelope for a peer; does not block. Queued envelopes are merged into one `deliver` call with their
    /// highest configuration version. An envelope for an unknown peer is dropped.
    void send(member_id peer, envelope);

    /// Forwards a call to a peer. The callback receives the response or a failure exactly once, at the latest when
    /// `call.remaining` has elapsed or the transport is stopped.
    void forward(member_id peer, forward_call, forward_callback);

    /// Fetches the production configuration of a peer if it is newer than the given version.
    void fetchConfiguration(
        member_id peer, std::uint64_t knownVersion, std::chrono::milliseconds timeout, configuration_callback);

    /// Sets the production configuration that peers can fetch from this instance. Throws chervilport_error `TooLarge`
    /// when it does not fit into one message.
    void publishConfiguration(configuration_copy);

    /// Returns a copy of the current counters.
    transport_counters counters() const;

    /// Closes all connections, completes all pending calls and joins the thread. Idempotent.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace chervilport
