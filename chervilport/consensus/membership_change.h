#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/message.h"
#include "chervilport/consensus/replica.h"

namespace chervilport {

/// Returns whether a membership change may be appended: an entry of the own term is committed, and no other change or
/// transfer is in progress.
bool canChangeMembers(const replica&);

/// Appends a new membership and replicates it.
void appendMembership(replica&, const membership&, replica_output&);

/// Records that a member responds with a newer incarnation than the admitted one.
void recordRestart(replica&, const message&, replica_output&);

/// Appends the next membership change that needs no operator: a restarted member becomes a learner, a learner that has
/// caught up becomes a voter.
void advanceMembership(replica&, replica_output&);

/// Returns whether a learner has the latest membership entry, and thus all entries committed before its admission.
bool hasCaughtUp(const replica&, const member& learner);

} // namespace chervilport
