#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/run_estimates.h"

#include <cstdint>

namespace chervilport::batch {

/// What a job can still reach if its step starts now.
enum class objective_status : std::uint8_t {
    /// It can be done within its latency objective.
    OnTime,
    /// It is past that, but its result is still of some use.
    Late,
    /// Its result comes too late to be of use; it runs when nothing else needs the room.
    Expired,
};

/// Returns the latency objective of a job in milliseconds.
double objectiveMs(const batch_state&, const run_estimates&, const job_record&);

/// Whether the result of a job will come too late to be of use, whatever happens from now on.
bool isExpired(const batch_state&, const run_estimates&, const job_record&, std::int64_t nowMs);

/// Judges a ready step by its job's objective, its age and the work that is left.
objective_status objectiveStatusOf(const batch_state&, const run_estimates&, const ready_step&, std::int64_t nowMs);

} // namespace chervilport::batch
