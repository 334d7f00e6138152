#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/message.h"
#include "chervilport/consensus/replica.h"

namespace chervilport {

/// Whether a change of the members may be appended now.
bool canChangeMembers(const replica&);

/// Appends new members and sends them on.
void appendMembership(replica&, const membership&, replica_output&);

/// Notes that a member answers under a newer incarnation than the one admitted.
void recordRestart(replica&, const message&, replica_output&);

/// Appends the next change that is due without an operator: a restarted member becomes a learner, a learner that has
/// caught up becomes a voter.
void advanceMembership(replica&, replica_output&);

/// Whether a learner holds the entry that admitted it, and so everything that was committed before.
bool hasCaughtUp(const replica&, const member& learner);

} // namespace chervilport
