#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_estimates.h"

#include <cstdint>

namespace chervilport::batch {

/// Ratio of the age up to which a result is of use to the objective; a job that finishes later expires.
inline constexpr double expiryFactor = 3.0;

/// Whether a job can still meet its latency objective if its step starts now.
enum class objective_status : std::uint8_t {
    /// It can finish within its latency objective.
    OnTime,
    /// It finishes after its objective, but its result is still useful.
    Late,
    /// It finishes too late for its result to be useful.
    Expired,
};

/// Returns the latency objective of a job in milliseconds.
double objectiveMs(const batch_state&, const run_estimates&, const job_record&);

/// Returns whether a job can no longer finish in time for its result to be useful. False for repeated and long-running
/// jobs.
bool isExpired(const batch_state&, const run_estimates&, const job_record&, std::int64_t nowMs);

} // namespace chervilport::batch
