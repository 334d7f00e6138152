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

/// Starts a task on a worker. Idempotent by job, attempt and rank.
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

/// Stops a task on a worker. Idempotent; a worker without the task confirms at once.
struct stop_task {
    /// The worker.
    std::string worker;
    /// The task.
    task_id task;
    /// How to end it.
    stop_mode mode = stop_mode::Kill;
};

/// Limits the use of a task that exceeds its declared size.
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
    /// Whether the job was already recorded under this key.
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

/// The state of a job changed.
struct job_changed {
    /// The job.
    job_id job {};
    /// Its current attempt, 0 before the first.
    std::int32_t attempt = 0;
    /// The new state.
    job_state state = job_state::Queued;
    /// Reason as text for users; empty if the state needs none.
    std::string reason;
};

/// A worker was put into quarantine because jobs failed on it, or was returned to service.
struct worker_quarantine_changed {
    /// The worker.
    std::string worker;
    /// Whether it is now in quarantine.
    bool quarantined = false;
};

/// The part of a workspace's guarantee that the current fleet cannot provide has changed.
struct guarantee_shortfall_changed {
    /// The workspace.
    std::string workspace;
    /// Accelerators of guaranteed gangs without a place; 0 when the whole guarantee can be provided again.
    std::int32_t missingAccelerators = 0;
};

/// Requests a `timer_fired` event. Replaces the time of the previous such command.
struct wake_at {
    /// Time at which the event is due.
    log_time time;
};

/// An output of the decision core.
using command = std::variant<start_task, stop_task, throttle_task, job_accepted, job_refused, job_changed,
    worker_quarantine_changed, guarantee_shortfall_changed, wake_at>;

} // namespace chervilport
