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

/// A membership and the index of the entry that brought it into force.
struct membership_record {
    /// Index of the entry, 0 for the initial membership.
    std::uint64_t index = 0;
    /// The members.
    membership members;
};

/// A heartbeat round and when it was started.
struct round_start {
    /// Number of the round.
    std::uint64_t round = 0;
    /// Local time before any of its messages was sent.
    log_time at {};
};

/// Progress of a leadership transfer.
struct transfer_progress {
    /// Voter that is to take over.
    member_id target {};
    /// Whether it was asked to stand, which ends the lease for the rest of the term.
    bool requestSent = false;
    /// When the transfer is given up.
    log_time deadline {};
};

/// State of a member of a replicated log.
struct replica {
    replica_config config;
    /// Latest local time given; never goes backwards.
    log_time now {};
    /// State of the generator of election timeouts.
    std::uint64_t randomState = 0;

    hard_state hardState;
    /// Term and vote as last handed out for persistence.
    hard_state lastOutputHardState;
    entry_log log;
    /// Memberships in force from the entries held, oldest first; never empty.
    std::vector<membership_record> memberships;
    std::uint64_t commitIndex = 0;
    /// Last entry handed out to be applied.
    std::uint64_t appliedIndex = 0;
    /// Last entry known to be synced here.
    std::uint64_t persistedIndex = 0;

    replica_role role = replica_role::Follower;
    std::optional<member_id> leader;
    /// When a leader was last heard from, or the start; votes are refused for an election timeout from then.
    log_time leaderContact {};
    log_time electionDeadline {};

    /// On a candidate, whether it is still asking for pre-votes.
    bool preVoting = false;
    /// On a candidate, members that gave it their vote.
    std::set<member_id> votes;

    /// On a leader, the other members.
    std::map<member_id, peer_progress> peers;
    /// On a leader, the first entry of its term.
    std::uint64_t termStartIndex = 0;
    std::uint64_t round = 0;
    /// On a leader, rounds started within an election timeout.
    std::deque<round_start> rounds;
    log_time nextHeartbeat {};
    std::optional<transfer_progress> transfer;
};

/// Members in force.
inline const membership& membersOf(const replica& state) { return state.memberships.back().members; }

/// Index of the entry that brought the members into force.
inline std::uint64_t membershipIndexOf(const replica& state) { return state.memberships.back().index; }

/// Adds a message to the output.
inline void send(
    const replica& state, replica_output& output, member_id to, std::uint64_t term, decltype(message::body) body)
{
    output.messages.push_back({ state.config.self.id, state.config.self.incarnation, to, term, std::move(body) });
}

} // namespace chervilport
