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
    /// Where a task of the present attempt stands.
    enum class task_phase : std::uint8_t { Starting, Running, Ended };

    /// What was submitted.
    job_spec spec;
    /// Where the job stands.
    job_state state = job_state::Queued;
    /// Present or last attempt, 0 before the first.
    std::int32_t attempt = 0;
    /// Worker of each task of the present attempt.
    std::vector<std::size_t> workers;
    /// Phase of each task of the present attempt.
    std::vector<task_phase> tasks;
    /// When the present attempt was placed.
    log_time startedAt;
    /// Whether a task of the present attempt failed or was lost, so that it does not count.
    bool hasFailed = false;
    /// Whether the caller cancelled it.
    bool isCancelled = false;
    /// Workers that failed one of its tasks; they are not used for it again.
    std::vector<std::size_t> excluded;
};

/// State of a baseline scheduler. It takes jobs in order of submission and never preempts. A gang starts as a whole
/// with the required closeness. Guarantees and quotas are not looked at.
struct fifo_state {
    /// Whether later jobs may start before the first one where its reservation is not delayed, judged by the declared
    /// run times (the method known as EASY).
    bool backfill = false;
    /// Policy parameters; only the number of attempts is used.
    policy_config policy;
    /// Free capacity.
    fleet_map fleet;
    /// Capacity of all workers that were ever seen; a job that does not fit it is refused.
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

/// Applies one event to a baseline scheduler; has the meaning of `applyEvent`.
std::vector<command> applyFifoEvent(fifo_state&, const event&, log_time now);

} // namespace chervilport::policy_benchmark
