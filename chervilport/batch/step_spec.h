#pragma once

#include "chervilport/batch/resource_demand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A set of equal tasks of a job.
struct step_spec {
    /// Number of tasks.
    std::uint32_t count = 1;
    /// What each task needs.
    resource_demand demand;
    /// The submitter's estimate of a task's run time in milliseconds; can be far off.
    std::int64_t estimateMs = 0;
    /// Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> dependsOn;
    /// Whether tasks save their progress.
    bool checkpointing = false;
    /// Whether all tasks run together under one run number.
    bool gang = false;
    /// Whether tasks are slow when they are spread over more than one rack.
    bool rackLocal = false;
    /// Label that a worker must have; empty for none.
    std::string requiredLabel;
    /// Rack where the input is; tasks are slow elsewhere. Empty for none.
    std::string dataRack;
    /// Tasks of the step on one worker at most; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Whether copies of a task may run in parallel.
    bool speculative = false;
    /// Whether tasks run until the job is cancelled.
    bool longRunning = false;
    /// Name of what the tasks run.
    std::string image;
    /// Largest tail latency of a long-running task in milliseconds; 0 for none.
    std::int64_t tailLatencyTargetMs = 0;
    /// Whether the tasks take only processor time that other tasks leave idle.
    bool usesIdleCpu = false;
    /// Tasks of a long-running step that may be away at a time by decisions of the scheduler.
    std::uint32_t maxUnavailable = 0;

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// Returns what a task takes from the capacity of a worker: a filling task takes memory but no cores.
inline resource_demand chargedDemand(const step_spec& step)
{
    auto charged = step.demand;
    if (step.usesIdleCpu)
        charged.milliCores = 0;
    return charged;
}

} // namespace chervilport::batch
