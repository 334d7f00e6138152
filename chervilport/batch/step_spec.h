#pragma once

#include "chervilport/batch/resource_demand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A set of identical tasks of a job.
struct step_spec {
    /// Number of tasks.
    std::uint32_t count = 1;
    /// Demand of each task.
    resource_demand demand;
    /// Estimate by the submitter of the run time of a task, in milliseconds; can be far off.
    std::int64_t estimateMs = 0;
    /// Indices of earlier steps that must be done first.
    std::vector<std::uint32_t> dependsOn;
    /// Whether tasks save checkpoints.
    bool checkpointing = false;
    /// Whether all tasks run together under one run number.
    bool gang = false;
    /// Whether tasks are slow when they are spread over more than one rack.
    bool rackLocal = false;
    /// Label that a worker must have; empty for none.
    std::string requiredLabel;
    /// Rack of the input data, outside of which tasks are slow; empty for none.
    std::string dataRack;
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Whether copies of a task may run in parallel.
    bool speculative = false;
    /// Whether tasks run until the job is cancelled.
    bool longRunning = false;
    /// Name of the image that the tasks run.
    std::string image;
    /// Target for the tail latency of a long-running task in milliseconds; 0 for none.
    std::int64_t tailLatencyTargetMs = 0;
    /// Whether the tasks use only processor time that other tasks leave idle.
    bool usesIdleCpu = false;
    /// Maximum number of tasks of a long-running step that the scheduler may make unavailable at a time.
    std::uint32_t maxUnavailable = 0;

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// Returns the demand that a task charges to the capacity of a worker. A task that uses only idle processor time is not
/// charged cores.
inline resource_demand chargedDemand(const step_spec& step)
{
    auto charged = step.demand;
    if (step.usesIdleCpu)
        charged.milliCores = 0;
    return charged;
}

} // namespace chervilport::batch
