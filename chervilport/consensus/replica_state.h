#pragma once

#include "chervilport/consensus/entry_log.h"
#include "chervilport/consensus/peer_progress.h"
#include "chervilport/consensus/replica.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chervilport {

/// A membership and the index of its log entry.
struct membership_record {
    /// Index of the entry; for a membership of a snapshot the index of the snapshot, 0 for the initial membership.
    std::uint64_t index = 0;
    /// The members.
    membership members;
};

/// A heartbeat round and its start time.
struct round_start {
    /// Number of the round.
    std::uint64_t round = 0;
    /// Local time at the start, before any message of the round was sent.
    log_time startedAt {};
};

/// Progress of a leadership transfer.
struct transfer_progress {
    /// Voter that is to become leader.
    member_id target {};
    /// Whether the target was requested to start an election, which ends the lease for the rest of the term.
    bool requestSent = false;
    /// Local time at which the transfer is abandoned.
    log_time deadline {};
};

/// State of a member of a replicated log.
struct replica {
    replica_config config;
    /// Latest local time passed in; never decreases.
    log_time now {};
    /// State of the generator of election timeouts.
    std::uint64_t randomState = 0;

    hard_state hardState;
    /// Term and vote as last returned in an output.
    hard_state lastOutputHardState;
    entry_log log;
    /// The membership in effect before the first entry in memory, and those of the entries in memory, oldest first;
    /// never empty. The last one is in effect.
    std::vector<membership_record> memberships;
    std::uint64_t commitIndex = 0;
    /// Index of the last entry returned to be applied.
    std::uint64_t appliedIndex = 0;
    /// Index of the last entry known to be synced by this member.
    std::uint64_t persistedIndex = 0;

    replica_role role = replica_role::Follower;
    std::optional<member_id> leader;
    /// Local time of the last contact from a leader, initially the start. Votes are refused for an election timeout
    /// from then on.
    log_time leaderContact {};
    log_time electionDeadline {};

    /// On a candidate, whether it collects pre-votes.
    bool preVoting = false;
    /// On a candidate, the members that granted their vote.
    std::set<member_id> votes;

    /// On a leader, the replication progress of the other members.
    std::map<member_id, peer_progress> peers;
    /// On a leader, the index of the first entry of its term.
    std::uint64_t termStartIndex = 0;
    std::uint64_t round = 0;
    /// On a leader, the rounds started within the last election timeout.
    std::deque<round_start> rounds;
    log_time nextHeartbeat {};
    std::optional<transfer_progress> transfer;
};

/// Returns the current members.
inline const membership& membersOf(const replica& state) { return state.memberships.back().members; }

/// Returns the index of the entry of the current membership.
inline std::uint64_t membershipIndexOf(const replica& state) { return state.memberships.back().index; }

/// Adds a message from this member to the output.
inline void send(
    const replica& state, replica_output& output, member_id to, std::uint64_t term, decltype(message::body) body)
{
    output.messages.push_back({ state.config.self.id, state.config.self.incarnation, to, term, std::move(body) });
}

} // namespace chervilport
