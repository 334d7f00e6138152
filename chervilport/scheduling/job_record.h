#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_id.h"
#include "chervilport/scheduling/job_spec.h"
#include "chervilport/scheduling/job_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// Phase of a task of the current attempt.
enum class task_phase : std::uint8_t {
    /// A start command was issued and is not confirmed.
    Starting,
    /// The worker confirmed that it runs.
    Running,
    /// A stop command was issued and is not confirmed.
    Stopping,
    /// It succeeded, was stopped, failed or was on a lost worker; it holds no capacity.
    Ended,
};

/// A task of the current attempt.
struct task_record {
    /// Index of its worker.
    std::int32_t worker = 0;
    /// Current phase.
    task_phase phase = task_phase::Starting;
    /// Whether it succeeded.
    bool succeeded = false;
    /// Whether its stop wrote a checkpoint.
    bool checkpointed = false;
    /// Time of the throttle command, if one was issued.
    std::optional<log_time> throttledAt;
    /// Whether the throttle command is not yet confirmed by a report within its limits.
    bool throttleAwaited = false;
};

/// Record of a job in the decision core.
struct job_record {
    /// Id of the job.
    job_id id {};
    /// Specification from the submission.
    job_spec spec;
    /// Current state.
    job_state state = job_state::Queued;
    /// Current or last attempt, 0 before the first.
    std::int32_t attempt = 0;
    /// Reason for the state; may be empty.
    std::string reason;
    /// When it was accepted.
    log_time submittedAt;
    /// When it was last put in the queue.
    log_time queuedAt;
    /// When the start commands of the current attempt were issued.
    log_time placedAt;
    /// When the start of the last task of the current attempt was confirmed, if all were.
    std::optional<log_time> startedAt;
    /// When it reached a final state.
    std::optional<log_time> endedAt;
    /// Tasks of the current attempt by rank; empty while queued.
    std::vector<task_record> tasks;
    /// State to enter once every task of the attempt has ended; Queued for another attempt.
    job_state afterStop = job_state::Queued;
    /// When a pending stop by checkpoint is escalated to a kill.
    std::optional<log_time> killAt;
    /// Whether the attempt is stopped by kill.
    bool killed = false;
    /// Run time saved by the last checkpoint.
    log_duration savedRunTime { 0 };
    /// Whether a checkpoint exists.
    bool hasCheckpoint = false;
    /// Checkpoints that were not written in time.
    std::int32_t lostCheckpoints = 0;
    /// Failed attempts that are attributed to the job and not to a worker.
    std::int32_t failures = 0;
    /// Workers, by name, on which it failed; it avoids them.
    std::vector<std::string> failedOn;
    /// Attempts that were stopped in favour of another job.
    std::int32_t preemptions = 0;
};

/// Returns whether a state is final.
inline bool isFinal(job_state state)
{
    return state != job_state::Queued && state != job_state::Starting && state != job_state::Running
        && state != job_state::Stopping;
}

/// Returns the accelerators that the whole gang holds.
inline std::int32_t gangAccelerators(const job_spec& spec) { return spec.perTask.accelerators * spec.taskCount; }

} // namespace chervilport
