#pragma once

#include "chervilport/batch/job_request.h"
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
    /// Runs that ended as failed.
    std::uint32_t failures = 0;
    /// Whether a run ended as done.
    bool done = false;
    /// Worker of the active run, or none.
    worker_number worker = noWorker;
    /// Time at which the active run was decided, Unix milliseconds.
    std::int64_t startedMs = 0;
    /// Saved progress that the next run begins with; empty for none.
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
    /// Runs of a gang that ended because a member failed.
    std::uint32_t gangFailures = 0;
    /// The last run of a gang that was counted as failed.
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
    /// Queue that took it.
    std::string queue;
    /// Pool that the queue named when the job came.
    std::string service;
    /// Workspace of the submitter; empty on a public queue.
    std::string workspace;
    /// Priority of the queue when the job came.
    std::int64_t priority = 0;
    /// Failed runs of a task that the queue allowed when the job came.
    std::uint32_t maxAttempts = 1;
    /// Time of acceptance, Unix milliseconds.
    std::int64_t acceptedMs = 0;
    /// Phase.
    job_phase phase = job_phase::Active;
    /// Time of the end, Unix milliseconds; 0 while active.
    std::int64_t endedMs = 0;
    /// Whether a task was ever started.
    bool hasStarted = false;
    /// Occurrences that are done.
    std::uint32_t occurrencesDone = 0;
    /// Number of active runs in all occurrences.
    std::uint32_t activeRuns = 0;
    /// Occurrences that have begun and are not done, by number.
    std::map<std::uint32_t, occurrence_record> occurrences;
    /// First occurrence that has not begun.
    std::uint32_t nextOccurrence = 0;
};

} // namespace chervilport::batch
