#pragma once

#include "chervilport/transport/configuration_copy.h"
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

/// The outgoing connection to one peer: connects again and again, sends what its outbox holds, and answers forwarded
/// calls. Only on the loop thread.
class peer_link : private kj::TaskSet::ErrorHandler {
public:
    /// A point of the loop's clock.
    using clock = std::chrono::steady_clock;

    /// Starts to connect.
    peer_link(std::shared_ptr<transport_context>, std::shared_ptr<send_queue>, kj::Network&, kj::Timer&, peer_address);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    /// Closes the connection and answers all outstanding calls.
    ~peer_link();

    /// Returns the address that the link connects to.
    const peer_address& address() const { return m_address; }

    /// Sends what waits in the outbox as far as the bound on unanswered calls allows.
    void flush();

    /// Has the peer answer a call until the given time.
    void forward(forward_call, clock::time_point deadline, const forward_callback&);

    /// Asks the peer for its configuration.
    void fetchConfiguration(std::uint64_t knownVersion, clock::time_point deadline,
        const std::function<void(std::optional<configuration_copy>)>&);

private:
    class connection;

    /// A call that has no answer yet.
    struct pending_call {
        /// Whether the call was handed to a connection.
        bool sent = false;
        /// Sends the call on the established connection.
        std::function<void(std::uint64_t id)> start;
        /// Takes the failure; `sent` tells whether the peer may have taken up the call.
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
    /// Whether the link pauses between two attempts; new calls then fail at once.
    bool m_isBackingOff = false;
    clock::time_point m_establishedAt;
    std::chrono::milliseconds m_backoff;
    std::size_t m_pendingDelivers = 0;
    std::map<std::uint64_t, pending_call> m_calls;
    std::uint64_t m_nextCall = 1;
    kj::TaskSet m_timeouts;
    kj::Promise<void> m_loop;
};

} // namespace chervilport
