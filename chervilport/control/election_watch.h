#pragma once

#include "chervilport/core/log_time.h"

namespace chervilport {

/// What a member observes of its group's elections and of its own event loop. A member whose loop lags by more than the
/// election timeout can neither lead nor elect.
struct election_watch {
    /// Last time at which a leader was known.
    log_time leaderSeenAt;
    /// Last time at which the absence of a leader was logged.
    log_time reportedAt;
    /// Time of the last tick.
    log_time tickedAt;
    /// Longest lag of a tick since the last call of `takeLongestLag`.
    log_duration longestLag { 0 };
};

/// Records a tick and whether a leader is known.
void recordTick(election_watch&, log_time now, log_duration interval, bool hasLeader);

/// Returns whether the absence of a leader is to be logged: after a second without one, and once a second.
bool takeAbsenceReport(election_watch&, log_time now);

/// Returns the longest lag of a tick since the last call.
log_duration takeLongestLag(election_watch&);

} // namespace chervilport
