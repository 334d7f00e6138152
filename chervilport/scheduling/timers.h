#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_record.h"

#include <optional>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Does what has become due: start and stop timeouts, deadlines, and workers that stayed away too long. Returns whether
/// the queue has to be looked at.
bool runDueTimers(schedule_state&, std::vector<command>&);

/// Returns the earliest time at which something becomes due.
std::optional<log_time> nextDueTime(const schedule_state&);

/// Returns the time after which a queued job cannot end before its deadline even if it runs as short as any comparable
/// one, or nothing if it has no deadline.
std::optional<log_time> latestUsefulStart(const schedule_state&, const job_record&);

} // namespace chervilport
