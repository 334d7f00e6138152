#pragma once

#include "chervilport/consensus/hard_state.h"
#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/member_id.h"
#include "chervilport/consensus/membership.h"
#include "chervilport/consensus/message.h"
#include "chervilport/consensus/persisted_state.h"
#include "chervilport/consensus/replica_config.h"
#include "chervilport/consensus/snapshot.h"
#include "chervilport/core/log_time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// A member of a replicated log; opaque to users of the module.
struct replica;

/// Deletes a replica; lets the type stay incomplete for users.
struct replica_deleter {
    /// Deletes the replica.
    void operator()(replica*) const;
};

/// Owner of a replica.
using replica_ptr = std::unique_ptr<replica, replica_deleter>;

/// Part a replica plays.
enum class replica_role : std::uint8_t {
    Learner,
    Follower,
    Candidate,
    Leader,
};

/// What the shell must do after a step, in the order of the members: persist and sync, then send, then apply. Outputs
/// are to be carried out in the order in which they were returned.
struct replica_output {
    /// Term and vote to persist, if changed.
    std::optional<hard_state> hardState;
    /// Snapshot received from the leader; persist it and drop all stored entries in one durable step, then load it into
    /// the state machine.
    std::optional<snapshot> installedSnapshot;
    /// Entries to append; an index already stored drops that entry and all after it first.
    std::vector<log_entry> appended;
    /// Messages to send, only after everything above is synced.
    std::vector<message> messages;
    /// Entries newly committed, in order, to apply to the state machine.
    std::vector<log_entry> committed;
};

/// What can be seen of a replica.
struct replica_status {
    /// Part it plays.
    replica_role role = replica_role::Follower;
    /// Present term.
    std::uint64_t term = 0;
    /// Leader of the term, if known.
    std::optional<member_id> leader;
    /// Last index in the log.
    std::uint64_t lastIndex = 0;
    /// Last index known to be committed.
    std::uint64_t commitIndex = 0;
    /// Members in force.
    membership members;
    /// On a leader, whether it has committed an entry of its own term and so may serve.
    bool ready = false;
};

/// Creates a replica from what storage holds. Committed entries after the snapshot are handed out again as they are
/// found to be committed.
replica_ptr makeReplica(const replica_config&, persisted_state, log_time now);

/// Applies a message from another member.
replica_output receive(replica&, const message&, log_time now);

/// Lets time pass; call at least every quarter of a heartbeat.
replica_output tick(replica&, log_time now);

/// Tells that everything handed out for persistence up to the last output is synced, so that the leader counts itself.
replica_output persisted(replica&, log_time now);

/// Appends commands on the leader. Returns the index of the first, or nothing when this member is not the leader;
/// `output` gets what to do next.
std::optional<std::uint64_t> propose(replica&, std::vector<std::string> payloads, log_time now, replica_output& output);

/// Adds a member, replaces its incarnation, or changes its part, one change at a time. With `asVoter` a member that is
/// not a learner yet, or has not caught up, becomes a learner first and a voter without a further call once it has
/// caught up. Returns whether a change was appended; false when not leader, when no entry of the own term is committed
/// yet, when another change or a transfer is in progress, when nothing would change, or when no voter would remain.
bool changeMember(replica&, const member&, bool asVoter, log_time now, replica_output& output);

/// Removes a member, under the same conditions as `changeMember`. A leader that removes itself steps down once the
/// removal is committed.
bool removeMember(replica&, member_id, log_time now, replica_output& output);

/// Hands leadership to the most advanced voter, for a planned stop. From then on this member takes no proposals, and
/// claims no lease once it has asked the successor to stand. Returns false when there is none or this is no leader.
bool transferLeadership(replica&, log_time now, replica_output& output);

/// Tells that the state machine took a snapshot after `index`, so that older entries can be dropped. Returns the
/// snapshot to persist; the present one when it already reaches `index`. Throws `Internal` when `index` is not
/// committed.
snapshot compact(replica&, std::uint64_t index, std::string data);

/// Returns whether this member is leader and no other one can be, by its lease and the stated clock-rate margin.
bool holdsLease(const replica&, log_time now);

/// Returns what can be seen of the replica.
replica_status statusOf(const replica&);

} // namespace chervilport
