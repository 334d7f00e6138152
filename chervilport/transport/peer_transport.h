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

/// Takes the configuration of a peer, or nothing when the peer did not answer in time. Called exactly once, on the
/// same threads as `forward_callback`.
using configuration_callback = std::function<void(std::optional<configuration_copy>)>;

/// Cap'n Proto RPC with the other instances, on an event loop thread of its own. All functions are safe on any thread,
/// but `start` and `stop` not on the transport thread. A transport is started once.
class peer_transport {
public:
    /// Creates a stopped transport.
    explicit peer_transport(transport_identity, transport_callbacks, transport_limits = {});
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    /// Stops the transport.
    ~peer_transport();

    /// Listens on the given IP number and port and starts to connect to the peers. Port 0 takes a free port.
    /// Throws chervilport_error: `InvalidRequest` for an address that is no IP number, `Unavailable` when the address
    /// cannot be listened on.
    void start(std::string_view ip, std::uint16_t port, std::vector<peer_address> peers);

    /// Returns the port that is listened on; 0 before the start.
    std::uint16_t port() const;

    /// Replaces the peers. A peer that stays at its address keeps its connection and queue. Throws chervilport_error
    /// `InvalidRequest` for an address that is no IP number; the peers then stay as they were.
    void setPeers(std::vector<peer_address> peers);

    /// Queues an envelope for a peer and never blocks. Queued envelopes are merged into one `deliver` call with the
    /// highest configuration version of them. An envelope for an unknown peer is dropped.
    void send(member_id peer, envelope);

    /// Has a peer answer a call. The callback gets the answer or a failure exactly once, at the latest when
    /// `call.remaining` has elapsed or the transport is stopped.
    void forward(member_id peer, forward_call, forward_callback);

    /// Asks a peer for its production configuration if it is newer than the given version.
    void fetchConfiguration(
        member_id peer, std::uint64_t knownVersion, std::chrono::milliseconds timeout, configuration_callback);

    /// Sets the production configuration that peers can fetch from this instance.
    void publishConfiguration(configuration_copy);

    /// Returns the present counters.
    transport_counters counters() const;

    /// Closes all connections, answers all outstanding calls and ends the thread. Idempotent.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace chervilport
