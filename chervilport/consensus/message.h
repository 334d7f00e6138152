#pragma once

#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/member_id.h"
#include "chervilport/consensus/snapshot.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace chervilport {

/// Asks for a vote, or with `preVote` whether a vote would be given.
struct vote_request {
    /// Whether the sender only asks and has not raised its term.
    bool preVote = false;
    /// Whether the present leader asked for this election (leadership transfer), so that its lease does not stand
    /// against it.
    bool transfer = false;
    /// Last entry of the candidate's log.
    std::uint64_t lastIndex = 0;
    /// Term of that entry.
    std::uint64_t lastTerm = 0;
};

/// Answer to `vote_request`.
struct vote_response {
    /// Whether it answers a pre-vote.
    bool preVote = false;
    /// Whether the vote is, or would be, given.
    bool granted = false;
};

/// Entries to append after a known position; empty as a heartbeat.
struct append_request {
    /// Index of the entry before the first one sent.
    std::uint64_t previousIndex = 0;
    /// Term of that entry.
    std::uint64_t previousTerm = 0;
    /// Commit index of the leader.
    std::uint64_t commitIndex = 0;
    /// Number of the heartbeat round, for leader leases and read barriers.
    std::uint64_t round = 0;
    /// The entries.
    std::vector<log_entry> entries;
};

/// Answer to `append_request` and `snapshot_request`.
struct append_response {
    /// Whether the entries now are in the log, synced where the member has a disk.
    bool accepted = false;
    /// When accepted, the last index known to match the leader's log; otherwise where the leader should try next.
    std::uint64_t matchIndex = 0;
    /// Round of the request.
    std::uint64_t round = 0;
};

/// A snapshot for a member whose next entries the leader no longer has.
struct snapshot_request {
    /// The snapshot.
    snapshot content;
    /// Round of the leader's heartbeat.
    std::uint64_t round = 0;
};

/// Asks the receiver to start an election at once.
struct transfer_request { };

/// A message between members of a replication group.
struct message {
    /// Sender.
    member_id from {};
    /// Incarnation of the sender.
    std::uint64_t fromIncarnation = 0;
    /// Receiver.
    member_id to {};
    /// Term of the sender; for a pre-vote the term that it would stand for.
    std::uint64_t term = 0;
    /// Content.
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_request, transfer_request> body;
};

} // namespace chervilport
