#pragma once

#include "chervilport/core/log_time.h"

namespace chervilport {

/// Time stamps for the leader of a log. They never decrease: they start from the wall clock when leadership begins and
/// then advance with the monotonic clock.
class log_clock_source {
public:
    /// Records the time of an applied command.
    void observe(log_time applied);

    /// Starts a period of leadership at the given readings of the wall clock and the monotonic clock.
    /// Ignores a wall clock that is more than `maxWallClockStep` ahead of the log, because a wrong clock would
    /// irreversibly expire every deadline. Returns whether the wall clock was used.
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
