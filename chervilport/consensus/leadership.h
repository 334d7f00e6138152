#pragma once

#include "chervilport/consensus/replica.h"

namespace chervilport {

/// Takes up leadership of the present term and appends its first entry.
void becomeLeader(replica&, replica_output&);

/// Does what is due on a leader: check of the quorum, end of a transfer, heartbeat.
void tickLeader(replica&, replica_output&);

/// Commits what a quorum holds, and what follows from that: end of a membership change, removal of this member.
void advanceCommit(replica&, replica_output&);

/// Whether this member has committed an entry of its own term.
bool hasCommittedInTerm(const replica&);

/// Asks the target of a transfer to stand once it has the whole log.
void continueTransfer(replica&, replica_output&);

/// Whether a lease that a quorum supports lasts at the given time.
bool isLeaseValid(const replica&, log_time now);

} // namespace chervilport
