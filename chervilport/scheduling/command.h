#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/job_id.h"
#include "chervilport/scheduling/job_state.h"
#include "chervilport/scheduling/resources.h"
#include "chervilport/scheduling/stop_mode.h"

#include <cstdint>
#include <string>
#include <variant>

namespace chervilport {

/// Start a task on a worker. Idempotent by job, attempt and rank.
struct start_task {
    /// The worker.
    std::string worker;
    /// The task.
    task_id task;
    /// What the task may use.
    resources limits;
    /// Whether the task continues from the checkpoint of an earlier attempt.
    bool fromCheckpoint = false;
};

/// Stop a task on a worker. Idempotent; a worker that does not know the task confirms at once.
struct stop_task {
    /// The worker.
    std::string worker;
    /// The task.
    task_id task;
    /// How to end it.
    stop_mode mode = stop_mode::Kill;
};

/// Limit the use of a task that exceeds its declared size.
struct throttle_task {
    /// The worker.
    std::string worker;
    /// The task.
    task_id task;
    /// What the task may use from now on.
    resources limits;
};

/// Answer to `job_submitted`: the job is recorded, or was already recorded under the same client key.
struct job_accepted {
    /// Id of the job.
    job_id job {};
    /// Workspace of the submission.
    std::string workspace;
    /// Client key of the submission.
    std::string clientKey;
    /// Whether an earlier submission under the same key is answered.
    bool duplicate = false;
};

/// Answer to `job_submitted`: the job is not recorded and will not run.
struct job_refused {
    /// Workspace of the submission.
    std::string workspace;
    /// Client key of the submission.
    std::string clientKey;
    /// Kind of the refusal.
    error_kind kind = error_kind::Infeasible;
    /// Reason shown to the caller.
    std::string reason;
};

/// A job moved to another state.
struct job_changed {
    /// The job.
    job_id job {};
    /// Its present attempt, 0 before the first.
    std::int32_t attempt = 0;
    /// The new state.
    job_state state = job_state::Queued;
    /// Why, for people; empty where the state says it all.
    std::string reason;
};

/// A worker was taken out of service or put back because of the failures of what it starts.
struct worker_quarantine_changed {
    /// The worker.
    std::string worker;
    /// Whether it is now in quarantine.
    bool quarantined = false;
};

/// The guarantee of a workspace cannot be held by the present fleet, or can again.
struct guarantee_shortfall_changed {
    /// The workspace.
    std::string workspace;
    /// Accelerators of guaranteed shapes that no witness holds; 0 when the guarantee holds again.
    std::int32_t missingAccelerators = 0;
};

/// The core wants a `timer_fired` event at this time; it replaces the time of the last such command.
struct wake_at {
    /// When.
    log_time time;
};

/// An output of the decision core.
using command = std::variant<start_task, stop_task, throttle_task, job_accepted, job_refused, job_changed,
    worker_quarantine_changed, guarantee_shortfall_changed, wake_at>;

} // namespace chervilport
