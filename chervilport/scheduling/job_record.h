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

/// Where a task of the present attempt stands.
enum class task_phase : std::uint8_t {
    /// The start command is out.
    Starting,
    /// The worker confirmed that it runs.
    Running,
    /// A stop command is out.
    Stopping,
    /// It ended well, was stopped, failed or was on a lost worker; it holds no capacity.
    Ended,
};

/// A task of the present attempt.
struct task_record {
    /// Index of its worker.
    std::int32_t worker = 0;
    /// Where it stands.
    task_phase phase = task_phase::Starting;
    /// Whether it ended well.
    bool succeeded = false;
    /// Whether its stop wrote a checkpoint.
    bool checkpointed = false;
    /// Time of the throttle command, if one is in force.
    std::optional<log_time> throttledAt;
    /// Whether the throttle command still awaits a report within its limits.
    bool throttleAwaited = false;
};

/// A job as the decision core knows it.
struct job_record {
    /// Id of the job.
    job_id id {};
    /// What was asked for.
    job_spec spec;
    /// Where it stands.
    job_state state = job_state::Queued;
    /// Present or last attempt, 0 before the first.
    std::int32_t attempt = 0;
    /// Why it is in this state.
    std::string reason;
    /// When it was accepted.
    log_time submittedAt;
    /// When it was last put in the queue.
    log_time queuedAt;
    /// When the start commands of the present attempt were issued.
    log_time placedAt;
    /// When all tasks of the present attempt were confirmed.
    std::optional<log_time> startedAt;
    /// When it reached a final state.
    std::optional<log_time> endedAt;
    /// Tasks of the present attempt by rank; empty while queued.
    std::vector<task_record> tasks;
    /// State to enter once every task of the attempt is gone; Queued for another attempt.
    job_state afterStop = job_state::Queued;
    /// When a stop by checkpoint turns into a kill, if that is still to come.
    std::optional<log_time> killAt;
    /// Whether the stop commands of the attempt kill.
    bool killed = false;
    /// Run time that the last checkpoint preserves.
    log_duration savedRunTime { 0 };
    /// Whether a checkpoint exists.
    bool hasCheckpoint = false;
    /// Checkpoints that were not written in time.
    std::int32_t lostCheckpoints = 0;
    /// Failed attempts that are the job's own fault as far as is known.
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
