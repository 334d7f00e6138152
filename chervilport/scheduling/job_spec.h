#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/adjacency.h"
#include "chervilport/scheduling/job_class.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chervilport {

/// Specification of a job, given by the caller at submission.
struct job_spec {
    /// Workspace whose guarantee and quota the job uses.
    std::string workspace;
    /// Team within the workspace; its quota applies. May be empty.
    std::string team;
    /// Kind of work, chosen by the caller; run-time estimates are learned per workspace and kind.
    std::string kind;
    /// Idempotency key, unique per workspace; a repeated submission under the same key returns the same job. May be
    /// empty.
    std::string clientKey;
    /// What the workers run; opaque to the scheduler and passed on unchanged.
    std::string payload;
    /// Service class.
    job_class jobClass = job_class::Standard;
    /// Number of tasks of the gang, 1 to 64; all of them run together or none does.
    std::int32_t taskCount = 1;
    /// Demand of each task.
    resources perTask;
    /// Required closeness of the tasks.
    adjacency placement = adjacency::Any;
    /// Declared run time; the actual run time may be much shorter or longer.
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
