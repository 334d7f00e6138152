#pragma once

#include "chervilport/batch/task_ref.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::batch {

/// Crashes of workers under the runs of one task.
struct crash_record {
    /// Number of runs that a worker was known to execute when it crashed.
    std::uint32_t crashes = 0;
    /// Number of runs that a worker may have executed when it crashed.
    std::uint32_t unconfirmedCrashes = 0;
    /// Numbers of these runs. The crashes can be reported in another order than that of the runs.
    std::vector<std::uint32_t> runs;
    /// Time of the last crash, Unix milliseconds.
    std::int64_t lastMs = 0;
};

/// Crashes of workers while runs were active there. A task that crashes its workers is found by it and given up.
struct crash_history {
    /// Tasks of active jobs under which a worker crashed.
    std::map<task_ref, crash_record> tasks;
    /// Time of the last crash by address, Unix milliseconds; entries expire.
    std::map<std::string, std::int64_t> addresses;
};

/// A crash of a worker.
struct worker_crash {
    /// Address of the worker.
    std::string_view address;
    /// Runs that the worker was known to execute.
    std::span<const run_ref> runs;
    /// Runs that it may have executed.
    std::span<const run_ref> unconfirmedRuns;
    /// Whether all runs that the worker may have executed belonged to one job.
    bool isOfOneJob = false;
    /// Time of the crash, Unix milliseconds.
    std::int64_t timeMs = 0;
};

/// Records a crash and returns the tasks to give up. A run counts once.
///
/// A second crash suffices when it points to one job: no run of another job was on the worker, and no other worker had
/// crashed at the address lately. Otherwise the other runs or the machine can be the cause, and the task is given up
/// only after four crashes. Unconfirmed ones count among the four: a task may crash its worker before the worker has
/// responded to the start request.
std::vector<task_ref> recordCrash(crash_history&, const worker_crash&);

/// Returns the record of a task, or null when no worker has crashed under it.
const crash_record* findCrashes(const crash_history&, const task_ref&);

/// Returns whether a worker at the address has crashed so recently that another crash there can have the same cause.
bool hasCrashedLately(const crash_history&, std::string_view address, std::int64_t nowMs);

/// Removes the records of all tasks of a job.
void removeCrashes(crash_history&, const std::string& job);

/// Removes the records of all tasks of an occurrence.
void removeCrashes(crash_history&, const std::string& job, std::uint32_t occurrence);

} // namespace chervilport::batch
