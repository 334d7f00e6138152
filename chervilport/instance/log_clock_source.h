#pragma once

#include "chervilport/core/log_time.h"

namespace chervilport {

/// Gives the leader of a log its time stamps. They never go backwards, follow the wall clock when leadership begins,
/// and the monotonic clock from then on.
class log_clock_source {
public:
    /// Notes the time of an applied command.
    void observe(log_time applied);

    /// Begins a leadership at the given readings of the wall clock and the monotonic clock.
    /// A wall clock that is more than `maxWallClockStep` ahead of the log is not followed, because a wrong clock would
    /// let every deadline expire for good. Returns whether the wall clock was followed.
    bool begin(log_time wall, log_time monotonic);

    /// Returns the stamp for a command proposed at the given reading of the monotonic clock.
    log_time stamp(log_time monotonic);

    /// Returns the time of the last applied command.
    log_time lastApplied() const { return m_lastApplied; }

private:
    log_time m_lastApplied;
    log_time m_lastStamp;
    log_time m_base;
    log_time m_monotonicBase;
};

} // namespace chervilport
