#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/core/log_time.h"

#include <cstdint>

namespace chervilport {

/// How far a worker is trusted, judged by the ends of its runs and not by what it says.
struct worker_health {
    /// Failed runs since the last one that was done.
    std::uint32_t consecutiveFailures = 0;
    /// Until when the worker gets no new runs.
    log_time quarantinedUntil;
    /// Number of quarantines in a row.
    std::uint32_t quarantines = 0;
};

/// Takes the end of a run into account. Returns whether a quarantine begins.
bool recordEnd(worker_health&, batch::run_end_kind, log_time now);

/// Whether the worker may get new runs.
bool isHealthy(const worker_health&, log_time now);

/// Likelihood of failures as a rank for placement: 0 is the best.
std::int32_t failureWeightOf(const worker_health&);

} // namespace chervilport
