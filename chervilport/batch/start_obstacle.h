#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/task_ref.h"

#include <cstdint>
#include <string_view>

namespace chervilport::batch {

/// Why an assigned run may not be started on its worker. A worker can have changed between the pass that planned the
/// run and the start.
enum class start_obstacle : std::uint8_t {
    None,
    /// The worker drains.
    Draining,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its active runs need more than its capacity.
    Overcommitted,
    /// It belongs to another service than the queue of the job, or lacks the label that the step requires.
    Unsuitable,
};

/// Returns the name of an obstacle for logs.
std::string_view nameOf(start_obstacle);

/// Returns the first obstacle to the start of a task of this job on this worker.
start_obstacle findStartObstacle(const batch_state&, const worker_record&, const job_record&, const task_ref&);

} // namespace chervilport::batch
