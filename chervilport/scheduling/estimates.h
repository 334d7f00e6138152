#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_record.h"
#include "chervilport/scheduling/kind_record.h"

#include <cstdint>
#include <string>
#include <utility>

namespace chervilport {

struct schedule_state;

/// Returns the record of a kind, new or present; drops the least recently updated one when there are too many.
kind_record& touchKind(schedule_state&, const std::pair<std::string, std::string>& kind);

/// Records the whole run time of a job that ended well.
void observeRunTime(schedule_state&, const job_spec&, log_duration runTime);

/// Returns the run time that the given share, in thousandths, of comparable jobs does not exceed. Without enough
/// observations a prior around the declared run time answers.
log_duration runTimeQuantile(const schedule_state&, const job_spec&, std::int32_t perMille);

/// Returns the same for a job that has already run for `elapsed`, as the time that remains; always positive.
log_duration remainingQuantile(const schedule_state&, const job_spec&, log_duration elapsed, std::int32_t perMille);

/// Returns the run time that a job has behind it, in earlier attempts by checkpoint and in the present one.
log_duration progressOf(const schedule_state&, const job_record&);

/// Returns the median of the time that a job still needs once it runs.
log_duration remainingRunTime(const schedule_state&, const job_record&);

} // namespace chervilport
