#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/task_ref.h"

namespace chervilport::batch {

/// Sums up again, from the jobs, what is derived from them: room in use and counts of active and done tasks.
void deriveAccounting(batch_state&);

/// Returns the step of a task, or null when the job, the occurrence or the step is not there.
step_record* findStep(batch_state&, const task_ref&);

/// Returns the step of a task, or null when the job, the occurrence or the step is not there.
const step_record* findStep(const batch_state&, const task_ref&);

/// Returns the task, or null.
const task_record* findTask(const batch_state&, const task_ref&);

/// Returns whether the run is the active one of its task, on this worker.
bool isActive(const batch_state&, const run_ref&, worker_number);

/// Begins a run of a task.
void beginRun(batch_state&, const run_ref&, worker_number);

/// Takes the active run off its worker. Does nothing else to the task.
void releaseRun(batch_state&, const task_ref&);

/// Creates the records of an occurrence that has not begun.
occurrence_record makeOccurrence(const job_request&);

} // namespace chervilport::batch
