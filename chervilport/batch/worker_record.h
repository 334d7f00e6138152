#pragma once

#include "chervilport/batch/worker_report.h"

#include <cstdint>

namespace chervilport::batch {

/// Number of a worker under one id; never used again. A worker that restarts under its id keeps it. 0 is no worker.
enum class worker_number : std::uint32_t {};

/// No worker.
inline constexpr worker_number noWorker { 0 };

/// A worker under one id.
struct worker_record {
    /// Its number.
    worker_number number = noWorker;
    /// The newest report that changed something.
    worker_report report;
    /// What its active runs take; derived from the jobs.
    resource_demand used;
    /// Number of active runs; derived from the jobs.
    std::uint32_t activeRuns = 0;
};

/// Returns the room that is left on a worker.
inline resource_demand freeCapacityOf(const worker_record& worker)
{
    return subtract(worker.report.capacity, worker.used);
}

} // namespace chervilport::batch
