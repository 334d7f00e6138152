#pragma once

#include "chervilport/consensus/message.h"
#include "chervilport/consensus/replica.h"

#include <cstdint>
#include <optional>

namespace chervilport {

/// Why an election starts. A transfer skips the pre-vote and overrides the lease of the current leader.
enum class election_cause : std::uint8_t {
    /// The election timeout passed without contact from a leader.
    Timeout,
    /// The leader requested it, to transfer leadership.
    Transfer,
};

/// Sets a randomized time at which this member starts an election unless a leader contacts it before.
void resetElectionDeadline(replica&);

/// Becomes a follower in `term`, which must not be lower than the current term.
void becomeFollower(replica&, std::uint64_t term, std::optional<member_id> leader);

/// Starts an election if this member is a voter.
void startElection(replica&, election_cause, replica_output&);

/// Handles a request for a vote or pre-vote and responds to it.
void handleVoteRequest(replica&, const message&, const vote_request&, replica_output&);

/// Counts a vote or pre-vote.
void handleVoteResponse(replica&, const message&, const vote_response&, replica_output&);

/// Starts an election at the request of the leader.
void handleTransferRequest(replica&, const message&, replica_output&);

/// Returns whether a log that ends with the given entry is at least as up to date as this log: a higher last term wins,
/// then a higher last index.
bool isUpToDate(const replica&, std::uint64_t otherLastTerm, std::uint64_t otherLastIndex);

} // namespace chervilport
