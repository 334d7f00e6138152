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

/// Accepts a job; one that is known stays as it is.
struct job_submitted {
    job_request request;
    std::string queue;
    std::string workspace;
};

/// Ends a job early.
struct job_cancelled {
    std::string job;
};

/// Decides a run of a task on a worker. Only after it is committed may the run be started.
struct run_assigned {
    run_ref run;
    worker_number worker = noWorker;
};

/// How a run ended.
enum class run_end_kind : std::uint8_t {
    /// The work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The lease ran out, or the worker's life ended.
    Lost,
    /// Another member of its gang ended.
    GangAborted,
    /// The other members of its gang did not come in time.
    GangIncomplete,
    /// It never began, and never will.
    NotStarted,
};

/// Returns the name of a kind for logs and metrics.
std::string_view nameOf(run_end_kind);

/// Notes the end of a run.
struct run_ended {
    run_ref run;
    worker_number worker = noWorker;
    run_end_kind kind = run_end_kind::Done;
    /// Saved progress; empty keeps what is known.
    std::string checkpoint;
};

/// Notes a report of a worker that changes something.
struct worker_reported {
    worker_report report;
};

/// Notes the end of a worker's life. Its active runs end as lapsed.
struct worker_ended {
    worker_number worker = noWorker;
};

/// Replaces the configuration if its version is higher.
struct config_applied {
    site_config config;
};

/// A change of the state.
using batch_command = std::variant<job_submitted, job_cancelled, run_assigned, run_ended, worker_reported, worker_ended,
    config_applied>;

/// Commands that are committed together.
struct command_batch {
    /// Wall clock of the leader, Unix milliseconds.
    std::int64_t timeMs = 0;
    /// In order.
    std::vector<batch_command> commands;
};

} // namespace chervilport::batch
