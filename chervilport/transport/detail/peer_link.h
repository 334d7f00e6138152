#pragma once

#include "chervilport/transport/configuration_copy.h"
#include "chervilport/transport/detail/connect_backoff.h"
#include "chervilport/transport/detail/send_queue.h"
#include "chervilport/transport/detail/transport_context.h"
#include "chervilport/transport/forward_call.h"
#include "chervilport/transport/peer_address.h"

#include <kj/async-io.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// The outgoing connection to one peer. Reconnects after each failure, sends the content of the send queue and forwards
/// calls. Only on the loop thread.
class peer_link : private kj::TaskSet::ErrorHandler {
public:
    /// Clock of the deadlines.
    using clock = std::chrono::steady_clock;

    /// Starts to connect.
    peer_link(std::shared_ptr<transport_context>, std::shared_ptr<send_queue>, kj::Network&, kj::Timer&, peer_address);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    /// Closes the connection and fails all pending calls.
    ~peer_link();

    /// Returns the address that the link connects to.
    const peer_address& address() const { return m_address; }

    /// Sends the queued envelopes up to the bound on pending `deliver` calls.
    void flush();

    /// Forwards a call to the peer; it fails at the deadline.
    void forward(forward_call, clock::time_point deadline, const forward_callback&);

    /// Fetches the peer's configuration if it is newer than the given version.
    void fetchConfiguration(std::uint64_t knownVersion, clock::time_point deadline,
        const std::function<void(std::optional<configuration_copy>)>&);

private:
    class connection;

    /// A call without a response.
    struct pending_call {
        /// Whether the call was sent on a connection.
        bool sent = false;
        /// Sends the call on the established connection.
        std::function<void(std::uint64_t id)> start;
        /// Receives the failure; `sent` is true when the peer may have received the call.
        std::function<void(bool sent, error_kind, const std::string& reason)> fail;
    };

    kj::Promise<void> connectLoop();
    kj::Promise<void> connectOnce();
    kj::Promise<void> sendHello();
    void handleEstablished(std::uint64_t incarnation);
    void endConnection(const std::string& reason);
    kj::Duration nextBackoff();

    void add(pending_call, clock::time_point deadline);
    void start(std::uint64_t id);
    void failCall(std::uint64_t id, error_kind, const std::string& reason);
    void failCalls(bool sent, const std::string& reason);
    bool remove(std::uint64_t id);
    void startForward(std::uint64_t id, const forward_call&, clock::time_point deadline, const forward_callback&);
    void startFetch(
        std::uint64_t id, std::uint64_t knownVersion, const std::function<void(std::optional<configuration_copy>)>&);
    void deliver(const envelope&);
    kj::Promise<void> probeLoop();
    void taskFailed(kj::Exception&&) override;

    std::shared_ptr<transport_context> m_context;
    std::shared_ptr<send_queue> m_sendQueue;
    kj::Timer& m_timer;
    peer_address m_address;
    kj::Own<kj::NetworkAddress> m_target;
    kj::Own<connection> m_connection;
    bool m_isEstablished = false;
    /// Whether the link waits before the next attempt to connect; new calls then fail at once.
    bool m_isBackingOff = false;
    clock::time_point m_establishedAt;
    connect_backoff m_backoff;
    bool m_hasNoPlace = false;
    std::size_t m_pendingDelivers = 0;
    std::map<std::uint64_t, pending_call> m_calls;
    std::uint64_t m_nextCall = 1;
    kj::TaskSet m_timeouts;
    kj::Promise<void> m_loop;
};

} // namespace chervilport
