#pragma once

#include "chervilport/batch/job_request.h"
#include "chervilport/batch/queue_config.h"
#include "chervilport/batch/worker_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::batch {

/// Phase of a job.
enum class job_phase : std::uint8_t {
    Active,
    Completed,
    Failed,
    Cancelled,
};

/// Returns the name of a phase for logs.
std::string_view nameOf(job_phase);

/// Progress of one task.
struct task_record {
    /// Number of the last run; 0 before the first.
    std::uint32_t lastRun = 0;
    /// Number of runs that ended as `Failed`; stays 0 for members of a gang.
    std::uint32_t failures = 0;
    /// Whether the task is done.
    bool done = false;
    /// Worker of the active run, or `noWorker`.
    worker_number worker = noWorker;
    /// Time at which the active run was assigned, Unix milliseconds.
    std::int64_t startedMs = 0;
    /// Saved progress from which the next run resumes; empty for none.
    std::string checkpoint;
};

/// Progress of one step of an occurrence.
struct step_record {
    /// One per task.
    std::vector<task_record> tasks;
    /// Number of tasks that are done.
    std::uint32_t doneCount = 0;
    /// Number of active runs.
    std::uint32_t activeCount = 0;
    /// Number of runs of a gang in which a member failed.
    std::uint32_t gangFailures = 0;
    /// Number of the last run that was counted in `gangFailures`.
    std::uint32_t lastFailedRun = 0;
};

/// Progress of one occurrence of a job.
struct occurrence_record {
    /// One per step.
    std::vector<step_record> steps;
};

/// A job and its progress.
struct job_record {
    /// As submitted.
    job_request request;
    /// Queue that accepted the job, as it was configured then.
    queue_config queue;
    /// Workspace of the submitter; empty on a public queue.
    std::string workspace;
    /// Time of acceptance, Unix milliseconds.
    std::int64_t acceptedMs = 0;
    /// Current phase.
    job_phase phase = job_phase::Active;
    /// Time at which the job left the phase `Active`, Unix milliseconds; 0 while active.
    std::int64_t endedMs = 0;
    /// Whether a run was ever assigned.
    bool hasStarted = false;
    /// Number of occurrences that are done.
    std::uint32_t occurrencesDone = 0;
    /// Number of active runs in all occurrences.
    std::uint32_t activeRuns = 0;
    /// Occurrences before `nextOccurrence` that are not done, by number.
    std::map<std::uint32_t, occurrence_record> occurrences;
    /// Number of the first occurrence without a record; all earlier ones have a record or are done.
    std::uint32_t nextOccurrence = 0;
};

} // namespace chervilport::batch
