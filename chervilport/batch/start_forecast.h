#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/scheduling_pass.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace chervilport::batch {

/// What a forecast was computed from.
struct forecast_inputs {
    /// Time since the first pass of this leader, in milliseconds.
    std::int64_t leaderAgeMs = 0;
    /// Number of observed runs of the job's queue.
    std::uint32_t samples = 0;
    /// Number of workers where the job may run, and that of them that the leader has reached.
    std::size_t workers = 0;
    std::size_t usableWorkers = 0;
    /// Number of active runs on these workers.
    std::size_t activeRuns = 0;
    /// Number of waiting tasks that go ahead of the job.
    std::size_t tasksAhead = 0;
    /// Number of active runs and tasks ahead whose queue has no observed run times yet.
    std::size_t unknownRuns = 0;
};

/// Forecast of the start and end of a job that is not accepted yet.
struct start_forecast {
    /// Time at which all tasks of the first step could have started, Unix milliseconds.
    std::int64_t startMs = 0;
    /// Time at which the job could have ended, Unix milliseconds.
    std::int64_t endMs = 0;
    /// Whether the workspace of the job has used more than its share lately.
    bool isBeyondShare = false;
    forecast_inputs inputs;
};

/// Why a job is accepted or refused.
enum class forecast_verdict : std::uint8_t {
    /// The job repeats or runs until it is cancelled, or its queue states no objective.
    NotTimed,
    /// There is room now.
    HasRoom,
    /// The job is within the guarantee of its workspace.
    Guaranteed,
    /// The inputs of the forecast are too few or too fresh.
    Unsound,
    /// The result could still be of use.
    Useful,
    /// The result would be worthless, so the job is refused.
    Worthless,
};

/// Verdict on a job, and the forecast if it was computed: for `Unsound`, `Useful` and `Worthless`.
struct forecast_decision {
    forecast_verdict verdict = forecast_verdict::NotTimed;
    start_forecast forecast;
};

/// Decides whether a job that is submitted now would end in time to be of use. `job` is the record that acceptance
/// would create. Refuses only if the result would be worthless by a margin; the margin is smaller for a workspace that
/// has used more than its share lately.
forecast_decision forecastJob(const batch_state&, const std::map<worker_number, worker_condition>&,
    const scheduler_state&, const job_record&, std::int64_t nowMs);

/// Returns the time after which a refused job may be sent again, in whole seconds. It is spread by the id of the job,
/// so that callers don't return together.
std::chrono::seconds retryDelay(
    const batch_state&, const run_estimates&, const job_record&, const start_forecast&, std::int64_t nowMs);

} // namespace chervilport::batch
