#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/core/log_time.h"

#include <cstdint>

namespace chervilport {

/// Health of a worker, judged by the ends of its runs and not by its own reports.
struct worker_health {
    /// Failed runs since the last successful one.
    std::uint32_t consecutiveFailures = 0;
    /// Time until which the worker gets no new runs.
    log_time quarantinedUntil;
    /// Quarantines since the last successful run.
    std::uint32_t quarantines = 0;
};

/// Records the end of a run. Returns whether a quarantine begins.
bool recordEnd(worker_health&, batch::run_end_kind, log_time now);

/// Returns whether the worker may get new runs.
bool isHealthy(const worker_health&, log_time now);

/// Returns the number of consecutive failures as a weight for placement; 0 is best.
std::int32_t failureWeightOf(const worker_health&);

} // namespace chervilport
