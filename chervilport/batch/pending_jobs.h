#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/task_ref.h"

#include <cstddef>
#include <functional>

namespace chervilport::batch {

/// Updates `unstartedJobs` with the end of a run of an active job. Called before the run is released.
void recordUnstarted(batch_state&, const job_record&, run_end_kind);

/// Returns whether a worker has confirmed that it executes a run.
using run_confirmation = std::function<bool(worker_number, const run_ref&)>;

/// Returns the number of accepted jobs of a queue without due times of which no task is known to have started. A job
/// whose first runs are assigned and not confirmed by their workers counts, since they may never start, and so does one
/// whose runs have all ended without a confirmation.
std::size_t countPendingJobs(const batch_state&, const queue_config&, const run_confirmation&);

} // namespace chervilport::batch
