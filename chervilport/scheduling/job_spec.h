#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/adjacency.h"
#include "chervilport/scheduling/job_class.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chervilport {

/// What a caller asks for when it submits a job.
struct job_spec {
    /// Workspace whose guarantee and quota the job uses.
    std::string workspace;
    /// Team within the workspace; its quota applies. May be empty.
    std::string team;
    /// Kind of work, chosen by the caller; run-time estimates are learned per workspace and kind.
    std::string kind;
    /// Idempotency key, unique per workspace; a resend under the same key gives the same job. May be empty.
    std::string clientKey;
    /// What the workers are to run; opaque to the scheduler and passed on as it is.
    std::string payload;
    /// Service class.
    job_class jobClass = job_class::Standard;
    /// Number of tasks of the gang, 1 to 64; all of them run together or none does.
    std::int32_t taskCount = 1;
    /// Demand of each task.
    resources perTask;
    /// Required closeness of the tasks.
    adjacency placement = adjacency::Any;
    /// Declared run time; may be far off in both directions.
    log_duration declaredRunTime { 0 };
    /// Log time after which the result is no longer useful, if any.
    std::optional<log_time> deadline;
    /// Whether the job may be stopped in favour of a guarantee and queued again.
    bool preemptible = true;
    /// Whether the workers can checkpoint it, so that a preemption loses little work.
    bool checkpointable = false;

    friend bool operator==(const job_spec&, const job_spec&) = default;
};

} // namespace chervilport
