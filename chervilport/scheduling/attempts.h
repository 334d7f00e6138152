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

/// Stops the present attempt; a checkpoint gets `timeout` before it turns into a kill. The job enters `afterStop` once
/// every task is gone. A later call with a final state replaces an earlier one that would have queued the job again,
/// and a kill replaces a checkpoint.
void stopAttempt(schedule_state&, job_record&, stop_mode, job_state afterStop, const std::string& reason,
    std::vector<command>&, log_duration timeout = log_duration(0));

/// Turns the stop by checkpoint of an attempt into a kill.
void killAttempt(schedule_state&, job_record&, std::vector<command>&);

/// Marks a task as gone and frees its capacity.
void releaseTask(schedule_state&, job_record&, std::int32_t rank);

/// Ends or queues the job if all tasks of its attempt are gone. The record may have moved afterwards.
void finishIfAllEnded(schedule_state&, job_id, std::vector<command>&);

/// Puts a job without tasks into a final state.
void endJob(schedule_state&, job_id, job_state, const std::string& reason, std::vector<command>&);

/// Returns the task of the present attempt that a report of a worker is about, or null if it is about none.
task_record* findTask(job_record&, const task_id&, std::int32_t worker);

/// Counts a task without an attempt as use of its worker and has it killed.
void addOrphanTask(schedule_state&, std::int32_t worker, const task_id&, std::vector<command>&);

/// Forgets a foreign task whose end was confirmed. Returns whether there was one.
bool releaseOrphanTask(schedule_state&, std::int32_t worker, const task_id&);

/// Returns whether a task of an earlier attempt of the job may still run somewhere.
bool hasOrphanTask(const schedule_state&, job_id);

} // namespace chervilport
