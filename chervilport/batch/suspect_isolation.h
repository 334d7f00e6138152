#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/worker_slot.h"

#include <cstdint>
#include <vector>

namespace chervilport::batch {

/// A suspect task is one under which a worker has crashed. It runs on a worker without other jobs for a while, so that
/// another crash shows whether it is the cause and takes no run of another job along.

/// Closes the workers where suspect tasks have just started, or do not respond since, for all other jobs.
void isolateSuspects(worker_slots&, const batch_state&, std::int64_t nowMs);

/// Separates the suspect tasks of steps into steps of their own. Until one of them has survived its first second, the
/// suspect tasks of a step are tried one by one. A gang with a suspect member is a suspect step as a whole.
std::vector<ready_step> separateSuspects(
    std::vector<ready_step>, const batch_state&, const worker_slots&, std::int64_t nowMs);

} // namespace chervilport::batch
