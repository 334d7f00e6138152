#pragma once

#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_record.h"
#include "chervilport/scheduling/stop_mode.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Starts the next attempt of a queued job on the given workers and takes their capacity.
void startAttempt(schedule_state&, job_record&, std::span<const std::int32_t> workers, std::vector<command>&);

/// Stops the current attempt. A stop by checkpoint is escalated to a kill after `timeout`. The job enters `afterStop`
/// once every task has ended. A later call with a final state overrides an earlier one that would have queued the job
/// again, and a kill overrides a checkpoint.
void stopAttempt(schedule_state&, job_record&, stop_mode, job_state afterStop, const std::string& reason,
    std::vector<command>&, log_duration timeout = log_duration(0));

/// Escalates the stop by checkpoint of an attempt to a kill.
void killAttempt(schedule_state&, job_record&, std::vector<command>&);

/// Marks a task as ended and frees its capacity.
void releaseTask(schedule_state&, job_record&, std::int32_t rank);

/// Ends or queues the job if all tasks of its attempt have ended. The record of the job may be among the ended ones
/// afterwards.
void finishIfAllEnded(schedule_state&, job_id, std::vector<command>&);

/// Puts a job without tasks into a final state.
void endJob(schedule_state&, job_id, job_state, const std::string& reason, std::vector<command>&);

/// Returns the task of the current attempt that a worker's report refers to, or null if there is none.
task_record* findTask(job_record&, const task_id&, std::int32_t worker);

/// Counts a task without an attempt as use of its worker and appends a command to kill it.
void addOrphanTask(schedule_state&, std::int32_t worker, const task_id&, std::vector<command>&);

/// Removes an orphan task whose end was confirmed. Returns whether it was recorded.
bool releaseOrphanTask(schedule_state&, std::int32_t worker, const task_id&);

/// Returns whether a task of an earlier attempt of the job may still run on a worker.
bool hasOrphanTask(const schedule_state&, job_id);

} // namespace chervilport
