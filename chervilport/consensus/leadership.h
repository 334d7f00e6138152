#pragma once

#include "chervilport/consensus/replica.h"

namespace chervilport {

/// Becomes leader of the current term and appends the first entry of the term.
void becomeLeader(replica&, replica_output&);

/// Runs the periodic work of a leader: steps down without contact to a quorum, ends an overdue transfer, and sends
/// heartbeats.
void tickLeader(replica&, replica_output&);

/// Advances the commit index to the last entry that a quorum has persisted. Then appends a membership change that is
/// due, or steps down if the removal of this member is committed.
void advanceCommit(replica&, replica_output&);

/// Returns whether this member is leader and has committed an entry of its term.
bool hasCommittedInTerm(const replica&);

/// Requests the target of a transfer to start an election once it has all entries of the log.
void continueTransfer(replica&, replica_output&);

/// Returns whether this member is leader and holds a lease, supported by a quorum, at the given time.
bool isLeaseValid(const replica&, log_time now);

} // namespace chervilport
