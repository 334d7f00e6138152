#pragma once

#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chervilport::policy_benchmark {

/// A task of an attempt on a worker.
struct live_task {
    /// Phase of a task. An `Ended` task holds its capacity until its end is reported; a `Removed` task holds none.
    enum class phase : std::uint8_t { Absent, Starting, Running, Stopping, Ended, Removed };

    /// Index of the worker.
    std::size_t worker = 0;
    /// Phase of the task.
    phase state = phase::Absent;
    /// Generation of the last action queued for the task; actions with an older generation are ignored.
    std::uint64_t generation = 0;
    /// Whether the scheduler requested its stop.
    bool isStopRequested = false;
};

/// An attempt of a job on the workers.
struct live_attempt {
    /// Index of the job in the stream.
    std::size_t job = 0;
    /// Attempt number.
    std::int32_t attempt = 0;
    /// Tasks by rank.
    std::vector<live_task> tasks;
    /// Run time saved by the checkpoint that it resumes from.
    log_duration resumedWork { 0 };
    /// Time at which all tasks ran for the first time.
    std::optional<log_time> gangStartedAt;
    /// Time at which it stopped making progress.
    std::optional<log_time> progressEndedAt;
    /// Whether a task failed or its worker went down.
    bool hasFailed = false;
    /// Whether it ran to its end.
    bool isComplete = false;
    /// Number of tasks that stopped with a checkpoint.
    std::int32_t checkpointed = 0;
};

/// Returns whether all tasks run together.
inline bool isGangRunning(const live_attempt& attempt) { return attempt.gangStartedAt && !attempt.progressEndedAt; }

/// Returns how long all tasks have run together in this attempt.
inline log_duration progressOf(const live_attempt& attempt, log_time now)
{
    return attempt.gangStartedAt ? attempt.progressEndedAt.value_or(now) - *attempt.gangStartedAt : log_duration { 0 };
}

} // namespace chervilport::policy_benchmark
