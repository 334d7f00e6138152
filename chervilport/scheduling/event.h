#pragma once

#include "chervilport/scheduling/job_id.h"
#include "chervilport/scheduling/job_spec.h"
#include "chervilport/scheduling/policy_config.h"
#include "chervilport/scheduling/resources.h"
#include "chervilport/scheduling/workspace_config.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilport {

/// A new configuration applies to this domain.
struct configuration_changed {
    /// Version of the production document.
    std::uint64_t version = 0;
    /// All workspaces of the environment with their guarantees in this domain.
    std::vector<workspace_config> workspaces;
    /// Policy parameters.
    policy_config policy;
};

/// A caller submitted a job. The core answers with `job_accepted` or `job_refused`.
struct job_submitted {
    /// Specification of the job.
    job_spec spec;
};

/// A caller cancelled a job. Unknown and ended jobs are ignored.
struct job_cancelled {
    /// The job.
    job_id job {};
};

/// Identifies a task of an attempt.
struct task_id {
    /// The job.
    job_id job {};
    /// Attempt number of the job, from 1.
    std::int32_t attempt = 0;
    /// Index of the task within its gang, from 0.
    std::int32_t rank = 0;

    friend bool operator==(const task_id&, const task_id&) = default;
};

/// A worker joined for the first time, again after a loss, or under a new incarnation.
struct worker_joined {
    /// Name, unique in the domain; the address it announced.
    std::string worker;
    /// Incarnation; a higher one replaces a lower one, whose tasks have ended.
    std::uint64_t incarnation = 0;
    /// Rack name.
    std::string rack;
    /// Position of the rack; racks with consecutive positions are adjacent.
    std::int32_t rackPosition = 0;
    /// Total capacity.
    resources capacity;
    /// Tasks that it runs; unknown ones are stopped before their capacity is used.
    std::vector<task_id> tasks;
};

/// A worker is leaving: it gets no new tasks, and its running tasks continue.
struct worker_leaving {
    /// The worker.
    std::string worker;
};

/// The worker's lease has provably expired: none of its tasks runs any more.
struct worker_lost {
    /// The worker.
    std::string worker;
};

/// A worker confirmed that a task runs.
struct task_started {
    /// The worker that reported it.
    std::string worker;
    /// The task.
    task_id task;
};

/// A task ended without a stop command.
struct task_ended {
    /// The worker that reported it.
    std::string worker;
    /// The task.
    task_id task;
    /// Whether it succeeded.
    bool succeeded = false;
};

/// A worker confirmed that a task was stopped on command.
struct task_stopped {
    /// The worker that reported it.
    std::string worker;
    /// The task.
    task_id task;
    /// Whether a checkpoint was written, so that the next attempt continues from it.
    bool checkpointed = false;
};

/// A worker reported the resource use of a task; reports arrive with a delay.
struct usage_reported {
    /// The worker that reported it.
    std::string worker;
    /// The task.
    task_id task;
    /// Use at the time of the measurement.
    resources use;
    /// Log time of the measurement; older than the event.
    log_time measuredAt;
};

/// Advances the time. Sent no later than the time of the last `wake_at` command.
struct timer_fired { };

/// An input of the decision core.
using event = std::variant<configuration_changed, job_submitted, job_cancelled, worker_joined, worker_leaving,
    worker_lost, task_started, task_ended, task_stopped, usage_reported, timer_fired>;

} // namespace chervilport
