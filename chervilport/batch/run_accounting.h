#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/task_ref.h"

#include <vector>

namespace chervilport::batch {

/// Recomputes all values that are derived from the jobs: used capacity and the numbers of active and done tasks.
void deriveAccounting(batch_state&);

/// Returns the step of a task, or null when the job, the occurrence or the step does not exist.
step_record* findStep(batch_state&, const task_ref&);

/// Returns the step of a task, or null when the job, the occurrence or the step does not exist.
const step_record* findStep(const batch_state&, const task_ref&);

/// Returns the task, or null.
const task_record* findTask(const batch_state&, const task_ref&);

/// Returns whether the run is the active run of its task and is assigned to this worker.
bool isActive(const batch_state&, const run_ref&, worker_number);

/// Returns the active runs on a worker.
std::vector<run_ref> runsOn(const batch_state&, worker_number);

/// Records the run as active on the worker and charges its demand there. The task must exist, be not done and have no
/// active run.
void beginRun(batch_state&, const run_ref&, worker_number);

/// Removes the active run of the task and returns its demand to the worker. The task must have an active run.
void releaseRun(batch_state&, const task_ref&);

/// Creates the record of an occurrence without progress.
occurrence_record makeOccurrence(const job_request&);

} // namespace chervilport::batch
