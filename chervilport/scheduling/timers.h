#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_record.h"

#include <optional>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Runs the due timers: start and stop timeouts, deadlines, probes, and removal of workers that were lost for too long.
/// Returns whether a scheduling pass is needed.
bool runDueTimers(schedule_state&, std::vector<command>&);

/// Returns the earliest time at which a timer becomes due, if any.
std::optional<log_time> nextDueTime(const schedule_state&);

/// Returns the time after which a queued job cannot end before its deadline even if it is as short as the shortest
/// comparable jobs, or nothing if it has no deadline.
std::optional<log_time> latestUsefulStart(const schedule_state&, const job_record&);

} // namespace chervilport
