#pragma once

#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/member_id.h"
#include "chervilport/consensus/snapshot.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace chervilport {

/// Requests a vote, or with `preVote` asks whether the vote would be granted.
struct vote_request {
    /// Whether this is a pre-vote: the sender has not raised its term.
    bool preVote = false;
    /// Whether the current leader requested this election to transfer leadership. Its lease is then no reason to refuse
    /// the vote.
    bool transfer = false;
    /// Index of the last entry of the candidate's log.
    std::uint64_t lastIndex = 0;
    /// Term of that entry.
    std::uint64_t lastTerm = 0;
};

/// Response to `vote_request`.
struct vote_response {
    /// Whether the request was a pre-vote.
    bool preVote = false;
    /// Whether the vote is, or in a pre-vote would be, granted.
    bool granted = false;
};

/// Entries to append after a given position; a heartbeat has no entries.
struct append_request {
    /// Index of the entry before the first entry sent.
    std::uint64_t previousIndex = 0;
    /// Term of that entry.
    std::uint64_t previousTerm = 0;
    /// Commit index of the leader.
    std::uint64_t commitIndex = 0;
    /// Number of the heartbeat round, for leader leases and read barriers.
    std::uint64_t round = 0;
    /// Entries from `previousIndex` + 1, without gaps.
    std::vector<log_entry> entries;
};

/// Response to `append_request` and `snapshot_request`.
struct append_response {
    /// Whether the log contains the entries, synced if the member has a disk.
    bool accepted = false;
    /// When accepted, the last index known to match the leader's log; otherwise the `previousIndex` that the leader
    /// should try next.
    std::uint64_t matchIndex = 0;
    /// Round of the request.
    std::uint64_t round = 0;
};

/// A snapshot for a member that needs entries which the leader has already dropped.
struct snapshot_request {
    /// The snapshot.
    snapshot content;
    /// Number of the leader's heartbeat round.
    std::uint64_t round = 0;
};

/// Requests the receiver to start an election at once.
struct transfer_request { };

/// A message between members of a replication group.
struct message {
    /// Sender.
    member_id from {};
    /// Incarnation of the sender.
    std::uint64_t fromIncarnation = 0;
    /// Receiver.
    member_id to {};
    /// Term of the sender; for a pre-vote, the term of the election that it would start.
    std::uint64_t term = 0;
    /// Content.
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_request, transfer_request> body;
};

} // namespace chervilport
