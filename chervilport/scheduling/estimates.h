#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_record.h"
#include "chervilport/scheduling/kind_record.h"

#include <cstdint>
#include <string>
#include <utility>

namespace chervilport {

struct schedule_state;

/// Returns the record of a kind and creates it if needed; evicts the least recently updated record when the table is
/// full.
kind_record& touchKind(schedule_state&, const std::pair<std::string, std::string>& kind);

/// Records the total run time of a job that succeeded.
void observeRunTime(schedule_state&, const job_spec&, log_duration runTime);

/// Returns the run time that the given share, in thousandths, of comparable jobs does not exceed. With few observations
/// a prior around the declared run time determines the result.
log_duration runTimeQuantile(const schedule_state&, const job_spec&, std::int32_t perMille);

/// Returns the same quantile of the remaining run time of a job that has already run for `elapsed`; always positive.
log_duration remainingQuantile(const schedule_state&, const job_spec&, log_duration elapsed, std::int32_t perMille);

/// Returns the run time that a job has completed: the part saved by checkpoints of earlier attempts plus the current
/// attempt.
log_duration progressOf(const schedule_state&, const job_record&);

/// Returns the median of the estimated remaining run time of a job.
log_duration remainingRunTime(const schedule_state&, const job_record&);

} // namespace chervilport
