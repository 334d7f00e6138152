#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/run_estimates.h"

#include <cstdint>

namespace chervilport::batch {

/// Whether a job can still meet its latency objective if its step starts now.
enum class objective_status : std::uint8_t {
    /// It can finish within its latency objective.
    OnTime,
    /// It finishes after its objective, but its result is still useful.
    Late,
    /// It finishes too late for its result to be useful, so other work is placed first.
    Expired,
};

/// Returns the latency objective of a job in milliseconds.
double objectiveMs(const batch_state&, const run_estimates&, const job_record&);

/// Returns whether a job can no longer finish in time for its result to be useful. False for repeated and long-running
/// jobs.
bool isExpired(const batch_state&, const run_estimates&, const job_record&, std::int64_t nowMs);

/// Classifies a ready step by the objective of its job, the age of the job and the expected remaining time.
objective_status objectiveStatusOf(const batch_state&, const run_estimates&, const ready_step&, std::int64_t nowMs);

/// Returns whether a step below the highest priority has used so much of the slack of its objective that a run somewhat
/// longer than expected misses it. In a lasting overload, steps of the same priority that still have more slack go
/// first: in the order of arrival all of them would start just too late.
bool isAtRisk(const batch_state&, const run_estimates&, const ready_step&, std::int64_t nowMs);

} // namespace chervilport::batch
