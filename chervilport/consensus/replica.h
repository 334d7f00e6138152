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

/// Deletes a replica, so that the type can stay incomplete for users.
struct replica_deleter {
    /// Deletes the replica.
    void operator()(replica*) const;
};

/// Owning pointer to a replica.
using replica_ptr = std::unique_ptr<replica, replica_deleter>;

/// Role of a replica in its group.
enum class replica_role : std::uint8_t {
    /// Receives the log without a vote.
    Learner,
    /// Votes, and receives the log from a leader.
    Follower,
    /// Collects votes or pre-votes.
    Candidate,
    /// Appends entries and replicates them.
    Leader,
};

/// Effects that the caller must carry out after a step, in the order of the members: persist and sync, then send, then
/// apply. Outputs must be carried out in the order in which they were returned.
struct replica_output {
    /// Term and vote to persist, if changed.
    std::optional<hard_state> hardState;
    /// Snapshot received from the leader. Must be persisted, with all stored entries dropped, in one durable step, and
    /// then be loaded into the state machine.
    std::optional<snapshot> installedSnapshot;
    /// Entries to append. If the index of an entry is already stored, that stored entry and all after it are dropped
    /// first.
    std::vector<log_entry> appended;
    /// Messages to send after everything above is synced.
    std::vector<message> messages;
    /// Newly committed entries to apply to the state machine, in order.
    std::vector<log_entry> committed;
};

/// Observable status of a replica.
struct replica_status {
    /// Role in the group.
    replica_role role = replica_role::Follower;
    /// Current term.
    std::uint64_t term = 0;
    /// Leader of the current term, if known.
    std::optional<member_id> leader;
    /// Last index in the log.
    std::uint64_t lastIndex = 0;
    /// Last index known to be committed.
    std::uint64_t commitIndex = 0;
    /// Current members.
    membership members;
    /// On a leader, whether it has committed an entry of its own term and may serve requests.
    bool ready = false;
};

/// Creates a replica from the stored state. Entries after the snapshot are returned in `committed` again once they are
/// known to be committed.
replica_ptr makeReplica(const replica_config&, persisted_state, log_time now);

/// Handles a message from another member.
replica_output receive(replica&, const message&, log_time now);

/// Handles elapsed time; must be called at least every quarter of a heartbeat interval.
replica_output tick(replica&, log_time now);

/// Reports that everything to persist in the outputs so far is synced, so that the leader counts itself.
replica_output persisted(replica&, log_time now);

/// Appends commands on the leader. Returns the index of the first command, or nothing when this member is not the
/// leader, a transfer is in progress or `payloads` is empty. The effects are added to `output`.
std::optional<std::uint64_t> propose(replica&, std::vector<std::string> payloads, log_time now, replica_output& output);

/// Adds a member, replaces its incarnation, or changes its role, one change at a time. With `asVoter`, a member that is
/// not a learner yet or has not caught up becomes a learner first, and is promoted without a further call once it has
/// caught up. Returns whether a change was appended: false when this member is not the leader, when no entry of the own
/// term is committed yet, when another change or a transfer is in progress, when `member` has an older incarnation than
/// the admitted one, when nothing would change, or when no voter would remain.
bool changeMember(replica&, const member&, bool asVoter, log_time now, replica_output& output);

/// Removes a member under the same conditions as `changeMember`. A leader that removes itself steps down once the
/// removal is committed.
bool removeMember(replica&, member_id, log_time now, replica_output& output);

/// Transfers leadership to the most advanced voter, for a graceful shutdown. Until the transfer ends, this member
/// accepts no proposals. Once it has requested the successor to start an election, it holds no lease for the rest of
/// the term. Returns false when this member is not the leader, a transfer is in progress, or no other voter is
/// reachable.
bool transferLeadership(replica&, log_time now, replica_output& output);

/// Records a snapshot `data` of the state machine after the entry `index` and drops the entries that it covers, except
/// the retained ones. Returns the snapshot to persist; this is the existing one if it already covers `index`. Throws
/// `Internal` when the entry `index` is not applied yet.
snapshot compact(replica&, std::uint64_t index, std::string data);

/// Returns whether this member is the leader and, by its lease and the configured clock-rate margin, no other member
/// can be.
bool holdsLease(const replica&, log_time now);

/// Returns the status of the replica.
replica_status statusOf(const replica&);

} // namespace chervilport
