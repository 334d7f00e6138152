#pragma once

#include "chervilport/consensus/replica.h"
#include "chervilport/core/log_time.h"
#include "chervilport/instance/log_clock_source.h"
#include "chervilport/instance/proposal_result.h"
#include "chervilport/requests/claim_state.h"
#include "chervilport/scheduling/decision_core.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

class replica_group;

/// Functions that the owner provides to the domain controller.
struct domain_hooks {
    /// Sends commands to workers. Called only on a leader, after the events that caused them are committed.
    std::function<void(std::span<const command>)> dispatch;
    /// Called on every replica with the commands of each applied event; for metrics and logs.
    std::function<void(std::span<const command>)> observe;
};

/// Owns the state machines of a domain log: the schedule and the claims. Runs on the control thread.
class domain_controller : public std::enable_shared_from_this<domain_controller> {
public:
    /// Called with the result of proposing an event and, when it is committed, with the resulting commands.
    using event_callback = std::function<void(proposal_result, std::span<const command>)>;

    /// Creates the controller of an empty domain.
    domain_controller(asio::io_context&, domain_hooks);
    ~domain_controller();

    /// Connects the controller to its replication group, before the group is started.
    void attach(const std::shared_ptr<replica_group>&);

    /// Applies a committed command.
    void apply(std::string_view payload);

    /// Returns the encoded state.
    std::string takeSnapshot() const;

    /// Replaces the state.
    void loadSnapshot(std::string_view data);

    /// Handles a change of role.
    void statusChanged(const replica_status&);

    /// Proposes an event; the callback may be empty.
    void submit(const event&, event_callback callback = {});

    /// Called with the reply to a step of a claim; the reply is empty unless the result is Committed.
    using claim_callback = std::function<void(proposal_result, const claim_reply&)>;

    /// Proposes a step of a claim.
    void submitClaim(const claim_step&, claim_callback);

    /// Returns the claims as this replica has applied them.
    const claim_state& claims() const { return m_claims; }

    /// Returns the schedule as this replica has applied it.
    const schedule_state& schedule() const { return *m_schedule; }

    /// Returns the present log time, for relative deadlines.
    log_time logNow();

    /// Stops the timers.
    void stop();

private:
    struct timer;

    log_time nextStamp();
    void armWakeTimer();

    domain_hooks m_hooks;
    std::unique_ptr<timer> m_timer;
    std::weak_ptr<replica_group> m_group;
    schedule_state_ptr m_schedule;
    log_clock_source m_clock;
    claim_state m_claims;
    std::vector<command> m_lastCommands;
    claim_reply m_lastClaimReply;
    bool m_leading = false;
};

} // namespace chervilport
