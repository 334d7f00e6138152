#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_speeds.h"

#include <cstddef>
#include <vector>

namespace chervilport::batch {

/// Seeds the estimates of a new leader with the recorded speeds. They have the weight of a few samples, so that its own
/// observations soon replace them.
void seedSpeeds(worker_speeds&, const batch_state&);

/// Returns the settled speeds that differ considerably from what a new leader would assume, at most `limit`, those that
/// differ most first.
std::vector<worker_speed_observed> speedsToRecord(const worker_speeds&, const batch_state&, std::size_t limit);

/// Removes the estimates of the workers of which a batch reports another incarnation. Called before the batch is
/// applied.
void removeOutdatedSpeeds(worker_speeds&, const batch_state&, const command_batch&);

} // namespace chervilport::batch
