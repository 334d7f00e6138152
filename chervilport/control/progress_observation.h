#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>
#include <optional>

namespace chervilport {

/// Work that a run did during an observation.
struct observed_pace {
    /// Share of the task's work that was done in a millisecond.
    double workPerMs = 0;
    /// Whether the run had finished its work before the end of the observation, so that the pace is a lower bound.
    bool isLowerBound = false;
};

/// Observation of the progress that a worker reports for a run.
struct progress_observation {
    /// Beginning of the observation; nothing before the first report of a run that began with a part of its work done.
    std::optional<log_time> since;
    /// Progress at the beginning, in percent.
    std::int64_t percent = 0;
};

/// Adds reported progress, in percent. Returns the pace once enough time has passed and enough work is done for it, and
/// then begins the next observation.
std::optional<observed_pace> observeProgress(progress_observation&, std::int64_t percent, log_time now);

} // namespace chervilport
