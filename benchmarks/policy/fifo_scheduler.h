#pragma once

#include "benchmarks/policy/fleet_map.h"
#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/event.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilport::policy_benchmark {

/// A job of a baseline scheduler.
struct fifo_job {
    /// Phase of a task of the current attempt.
    enum class task_phase : std::uint8_t { Starting, Running, Ended };

    /// Specification that was submitted.
    job_spec spec;
    /// State of the job.
    job_state state = job_state::Queued;
    /// Number of the current or last attempt; 0 before the first.
    std::int32_t attempt = 0;
    /// Worker of each task of the current attempt.
    std::vector<std::size_t> workers;
    /// Phase of each task of the current attempt.
    std::vector<task_phase> tasks;
    /// Time at which the current attempt was placed.
    log_time startedAt;
    /// Whether a task of the current attempt failed or was lost, so that the attempt cannot succeed.
    bool hasFailed = false;
    /// Whether the caller cancelled it.
    bool isCancelled = false;
    /// Workers on which one of its tasks failed; they are not used for it again.
    std::vector<std::size_t> excluded;
};

/// State of a baseline scheduler. It starts jobs in order of submission and never preempts. All tasks of a gang start
/// together with the required adjacency. It ignores guarantees and quotas.
struct fifo_state {
    /// Whether later jobs may start before the first one if they do not delay its reservation according to the declared
    /// run times (EASY backfill).
    bool usesBackfill = false;
    /// Policy parameters; only the number of attempts is used.
    policy_config policy;
    /// Free capacity.
    fleet_map fleet;
    /// Capacity of all workers that ever joined; a job that does not fit it is refused.
    fleet_map fleetCapacity;
    /// Names of the workers by index.
    std::vector<std::string> workerNames;
    /// Index of each worker by name.
    std::map<std::string, std::size_t, std::less<>> workerIndex;
    /// All jobs; the id of a job is its index plus one.
    std::vector<fifo_job> jobs;
    /// Indices of the waiting jobs.
    std::set<std::size_t> queue;
    /// Indices of the jobs that hold capacity.
    std::set<std::size_t> active;
};

/// Applies one event to a baseline scheduler and returns the commands, as `applyEvent` does.
std::vector<command> applyFifoEvent(fifo_state&, const event&, log_time now);

} // namespace chervilport::policy_benchmark
