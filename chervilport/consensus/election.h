#pragma once

#include "chervilport/consensus/message.h"
#include "chervilport/consensus/replica.h"

#include <cstdint>
#include <optional>

namespace chervilport {

/// Whether an election may bypass the pre-vote and the lease of the present leader.
enum class election_cause : std::uint8_t {
    /// No leader was heard from.
    Timeout,
    /// The leader asked for it.
    Transfer,
};

/// Sets the time at which this member stands for election unless it hears from a leader.
void resetElectionDeadline(replica&);

/// Becomes a follower in `term`, which is not lower than the present one.
void becomeFollower(replica&, std::uint64_t term, std::optional<member_id> leader);

/// Stands for election if this member is a voter.
void startElection(replica&, election_cause, replica_output&);

/// Answers a request for a vote or pre-vote.
void handleVoteRequest(replica&, const message&, const vote_request&, replica_output&);

/// Counts a vote or pre-vote.
void handleVoteResponse(replica&, const message&, const vote_response&, replica_output&);

/// Stands for election because the leader asks for it.
void handleTransferRequest(replica&, const message&, replica_output&);

/// Whether the given last entry is at least as far as the last entry of this log.
bool isUpToDate(const replica&, std::uint64_t otherLastTerm, std::uint64_t otherLastIndex);

} // namespace chervilport
