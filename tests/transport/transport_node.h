#pragma once

#include "chervilport/transport/peer_transport.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace chervilport {

/// Returns limits with a response timeout that no test reaches, so that a slow machine does not change a result.
inline transport_limits limitsWithoutTimeout()
{
    transport_limits limits;
    limits.responseTimeout = std::chrono::hours(1);
    return limits;
}

/// An instance in a test: a transport that records what it receives. Waits have no timeout; a test that hangs is ended
/// by the timeout of the test runner.
struct transport_node {
    /// Guards all records.
    std::mutex mutex;
    /// Notified after each record.
    std::condition_variable changed;
    /// Envelopes received, with their senders.
    std::vector<std::pair<member_id, envelope>> envelopes;
    /// Calls received.
    std::vector<forward_call> calls;
    /// Responders of the received calls.
    std::vector<forward_responder> responders;
    /// Results of forwarded calls.
    std::vector<forward_result> results;
    /// Log messages.
    std::vector<std::string> logLines;
    /// The transport.
    peer_transport transport;

    explicit transport_node(std::uint64_t id, std::uint64_t incarnation = 1,
        transport_limits limits = limitsWithoutTimeout(), const std::string& secret = "secret",
        const std::string& cluster = "cluster", std::uint32_t protocol = 1)
        : transport({ cluster, secret, member_id { id }, incarnation, protocol }, recording({}), limits)
    {
    }

    /// Creates a node with further callbacks, beside those that record.
    transport_node(std::uint64_t id, std::uint64_t incarnation, transport_limits limits, transport_callbacks callbacks)
        : transport({ "cluster", "secret", member_id { id }, incarnation, 1 }, recording(std::move(callbacks)), limits)
    {
    }

    ~transport_node() { transport.stop(); }

    /// Listens on a free port of the loopback interface.
    void start(std::vector<peer_address> peers = {}) { transport.start("127.0.0.1", 0, std::move(peers)); }

    /// Returns the address of this node under the given id.
    peer_address address(std::uint64_t id) const { return { member_id { id }, "127.0.0.1", transport.port() }; }

    /// Waits for a condition on the records.
    void wait(const std::function<bool()>& condition)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, condition);
    }

    /// Waits for a condition on the counters by polling, because changes of counters are not notified.
    void waitCounters(const std::function<bool(const transport_counters&)>& condition) const
    {
        while (!condition(transport.counters()))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    /// Waits until the outgoing connection to a peer is established.
    void waitConnected(std::uint64_t id, std::uint64_t connects = 1) const
    {
        waitCounters([=](const transport_counters& counters) {
            const auto& peer = counters.peers.at(member_id { id });
            return peer.connected && peer.connects >= connects;
        });
    }

    /// Forwards a call and records its result.
    void forward(std::uint64_t id, const std::string& path, std::chrono::milliseconds remaining)
    {
        transport.forward(member_id { id }, { "POST", path, { { "Name", "value" } }, "body", remaining },
            [this](forward_result result) { record([&] { results.push_back(std::move(result)); }); });
    }

private:
    template <typename change> void record(change apply)
    {
        const std::lock_guard lock(mutex);
        apply();
        changed.notify_all();
    }

    transport_callbacks recording(transport_callbacks result)
    {
        result.onDeliver = [this](member_id peer, envelope content) {
            record([&] { envelopes.emplace_back(peer, std::move(content)); });
        };
        result.onForward = [this](member_id, forward_call call, forward_responder responder) {
            record([&] {
                calls.push_back(std::move(call));
                responders.push_back(std::move(responder));
            });
        };
        result.onLog = [this](const std::string& line) { record([&] { logLines.push_back(line); }); };
        return result;
    }
};

/// Returns an empty heartbeat.
inline envelope heartbeat(std::uint64_t from, std::uint64_t to, std::uint64_t round)
{
    const message content { member_id { from }, 1, member_id { to }, 7, append_request { 4711, 7, 4711, round, {} } };
    return { 12, { { replication_scope::Domain, content } }, {} };
}

} // namespace chervilport
