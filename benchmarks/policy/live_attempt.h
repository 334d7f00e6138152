#pragma once

#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chervilport::policy_benchmark {

/// A task that holds capacity of a worker.
struct live_task {
    /// Where the task stands. `Ended` tasks hold capacity until their end is reported.
    enum class phase : std::uint8_t { Absent, Starting, Running, Stopping, Ended, Removed };

    /// Index of the worker.
    std::size_t worker = 0;
    /// Where the task stands.
    phase state = phase::Absent;
    /// Number of the last planned action; actions with an older number are void.
    std::uint64_t generation = 0;
    /// Whether the scheduler ordered it to stop.
    bool isStopRequested = false;
};

/// An attempt of a job as the workers see it.
struct live_attempt {
    /// Index of the job in the stream.
    std::size_t job = 0;
    /// Attempt number.
    std::int32_t attempt = 0;
    /// Tasks by rank.
    std::vector<live_task> tasks;
    /// Work of earlier attempts that it continues from.
    log_duration resumedWork { 0 };
    /// When all tasks ran.
    std::optional<log_time> gangStartedAt;
    /// When it ceased to make progress.
    std::optional<log_time> progressEndedAt;
    /// Whether a task failed or its worker died.
    bool hasFailed = false;
    /// Whether it ran to its end.
    bool isComplete = false;
    /// Tasks stopped with a checkpoint.
    std::int32_t checkpointed = 0;
};

/// Returns whether all tasks run together.
inline bool isGangRunning(const live_attempt& attempt) { return attempt.gangStartedAt && !attempt.progressEndedAt; }

/// Returns how long the whole gang ran in this attempt.
inline log_duration progressOf(const live_attempt& attempt, log_time now)
{
    return attempt.gangStartedAt ? attempt.progressEndedAt.value_or(now) - *attempt.gangStartedAt : log_duration { 0 };
}

} // namespace chervilport::policy_benchmark
