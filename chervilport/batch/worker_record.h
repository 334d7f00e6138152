#pragma once

#include "chervilport/batch/worker_report.h"

#include <cstdint>

namespace chervilport::batch {

/// Identifies a worker; never reused. A worker that restarts under the same id keeps its number. 0 is no worker.
enum class worker_number : std::uint32_t {};

/// No worker.
inline constexpr worker_number noWorker { 0 };

/// Speed of a worker as a leader has observed it.
struct recorded_speed {
    /// Run time relative to a typical worker, in percent: 200 takes twice as long.
    std::int64_t slownessPercent = 100;
    /// Number of samples; 0 when the speed is unknown.
    std::uint32_t samples = 0;

    bool operator==(const recorded_speed&) const = default;
};

/// A worker and its use.
struct worker_record {
    /// Number of the worker.
    worker_number number = noWorker;
    /// The newest report that changed the record.
    worker_report report;
    /// Speed of the recorded incarnation.
    recorded_speed speed;
    /// Capacity charged to its active runs; derived from the jobs.
    resource_demand used;
    /// Number of active runs; derived from the jobs.
    std::uint32_t activeRuns = 0;
};

/// Returns the free capacity of a worker.
inline resource_demand freeCapacityOf(const worker_record& worker)
{
    return subtract(worker.report.capacity, worker.used);
}

/// Returns whether the active runs of a worker need more than its capacity, as after a report of a smaller one.
inline bool isOvercommitted(const worker_record& worker) { return !fitsInto(worker.used, worker.report.capacity); }

} // namespace chervilport::batch
