#pragma once

#include "chervilport/batch/job_request.h"
#include "chervilport/batch/site_config.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/worker_record.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chervilport::batch {

/// Accepts a job in the format of earlier versions, which looks the queue up when the command is applied. It is read
/// from their logs and no longer proposed.
struct job_submitted_by_name {
    job_request request;
    /// Name of the queue.
    std::string queue;
    std::string workspace;
};

/// Accepts a job. Idempotent: a job whose id exists stays unchanged.
struct job_submitted {
    job_request request;
    /// The queue as the leader resolved it. A later configuration may precede the command in the log.
    queue_config queue;
    std::string workspace;
};

/// Ends a job early.
struct job_cancelled {
    std::string job;
};

/// Assigns a run of a task to a worker. The run may be started only after this command is committed.
struct run_assigned {
    run_ref run;
    worker_number worker = noWorker;
};

/// How a run ended.
enum class run_end_kind : std::uint8_t {
    /// The task succeeded.
    Done,
    /// It failed, because of a fault of the task or of the worker.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired, or the incarnation of its worker ended.
    Lost,
    /// Another member of its gang ended.
    GangAborted,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// It did not start and can no longer start.
    NotStarted,
};

/// Returns the name of a kind for logs and metrics.
std::string_view nameOf(run_end_kind);

/// Records the end of a run.
struct run_ended {
    run_ref run;
    worker_number worker = noWorker;
    run_end_kind kind = run_end_kind::Done;
    /// Saved progress; empty keeps the recorded checkpoint.
    std::string checkpoint;
};

/// Records a report of a worker that changes its record.
struct worker_reported {
    worker_report report;
};

/// Removes a worker. Its active runs end as `Lost`.
struct worker_ended {
    worker_number worker = noWorker;
};

/// Removes a worker whose incarnation has ended, as `worker_ended` does, unless a later incarnation has been recorded
/// under its number: the proof that one incarnation has ended says nothing about the next one.
struct incarnation_ended {
    worker_number worker = noWorker;
    /// Start time of the incarnation that has ended, Unix milliseconds.
    std::int64_t incarnation = 0;
};

/// Records that a worker crashed while these runs were active there. It ends no run: the worker may report again.
struct worker_crashed {
    worker_number worker = noWorker;
    /// Runs that the worker was known to execute.
    std::vector<run_ref> runs;
    /// Runs that the worker may have executed: their start request may have reached it, and it confirmed none.
    std::vector<run_ref> unconfirmedRuns;
};

/// Replaces the configuration if its version is higher.
struct config_applied {
    site_config config;
};

/// Evacuates a failure domain, or ends its evacuation. Idempotent.
struct evacuation_changed {
    std::string failureDomain;
    bool isEvacuated = false;
};

/// Records the speed of a worker, unless another incarnation has been recorded under its number.
struct worker_speed_observed {
    worker_number worker = noWorker;
    /// Start time of the incarnation that was observed, Unix milliseconds.
    std::int64_t incarnation = 0;
    /// Run time relative to a typical worker, in percent.
    std::int64_t slownessPercent = 100;
    /// Number of samples.
    std::uint32_t samples = 0;
};

/// A command that changes the state. The order of the alternatives is part of the format of the log.
using batch_command
    = std::variant<job_submitted_by_name, job_cancelled, run_assigned, run_ended, worker_reported, worker_ended,
        config_applied, worker_crashed, evacuation_changed, incarnation_ended, worker_speed_observed, job_submitted>;

/// Commands that are committed together.
struct command_batch {
    /// Wall clock of the leader when it proposed the batch, Unix milliseconds.
    std::int64_t timeMs = 0;
    /// Commands in the order in which they are applied.
    std::vector<batch_command> commands;
};

} // namespace chervilport::batch
