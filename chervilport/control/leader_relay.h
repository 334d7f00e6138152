#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/control/cluster_calls.h"
#include "chervilport/control/search_pacing.h"
#include "chervilport/core/log_time.h"
#include "chervilport/core/repeating_timer.h"
#include "chervilport/http/http_message.h"
#include "chervilport/instance/forward_outcome.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

class peer_network;

/// Result of a relayed call.
struct relay_outcome {
    /// Response of the leader, if one arrived in time.
    std::optional<http_response> response;
    /// Whether an attempt without a final response may have been executed or may still be executed.
    bool mayHaveRun = false;
};

/// Finds the leader of the control group and relays calls to it, with retries until a response arrives or the deadline
/// is over. A call can reach several leaders one after the other, so every relayed call must be idempotent. All
/// functions are called on the control thread.
class leader_relay : public std::enable_shared_from_this<leader_relay> {
public:
    /// Receives the result of a call; called once.
    using callback = std::function<void(relay_outcome)>;

    /// Creates a relay that uses the network; it never contacts `self`.
    leader_relay(asio::io_context&, peer_network&, member_id self);
    ~leader_relay();

    /// Starts the search for a leader.
    void start();

    /// Ends all pending calls without a response.
    void stop();

    /// Sets the instances that can be contacted besides the members that the group reports.
    void setSeeds(std::vector<member_id>);

    /// Relays a call to the leader; `name` identifies it in the log.
    void relay(http_request, std::string name, log_time deadline, callback);

    /// Returns whether a serving leader responded recently, so that calls can be relayed.
    bool hasLeader(log_time now) const;

    /// Returns the time since the last response of a serving leader.
    log_duration timeSinceLeaderContact(log_time now) const { return now - m_lastLeaderContact; }

    /// Returns the current leader, if known.
    std::optional<member_id> leader() const { return m_leader; }

    /// Returns the instances that can be contacted: members and seeds without this instance.
    std::vector<member_id> candidates() const;

    /// Called with the candidates when the members that the group reports have changed.
    std::function<void(const std::vector<member_id>&)> membersChanged;

private:
    struct pending_call;

    void tick();
    void probe(member_id);
    void search(log_time now);
    void handleStatus(member_id from, const cluster_status&);
    void setLeader(member_id);
    void dropLeader(member_id, const char* reason);
    void attemptCall(const std::shared_ptr<pending_call>&);
    void handleOutcome(const std::shared_ptr<pending_call>&, member_id target, const forward_outcome&);
    void finish(const std::shared_ptr<pending_call>&, relay_outcome);
    void resumeWaiting();

    asio::io_context& m_context;
    peer_network& m_network;
    member_id m_self;
    repeating_timer m_tick;
    std::vector<member_id> m_seeds;
    std::vector<member_id> m_members;
    std::optional<member_id> m_leader;
    std::uint64_t m_term = 0;
    log_time m_lastLeaderContact;
    log_time m_lastProbe;
    search_pacing m_search;
    std::list<std::shared_ptr<pending_call>> m_waiting;
    bool m_stopped = false;
};

} // namespace chervilport
