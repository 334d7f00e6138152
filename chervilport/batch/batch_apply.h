#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"

namespace chervilport::batch {

/// Time for which an ended job is still known, in milliseconds.
inline constexpr std::int64_t endedJobRetentionMs = 150'000;

/// Applies committed commands to the state. Deterministic; commands that no longer fit the state change nothing, since
/// the leader decides on what was applied when it proposed.
void applyBatch(batch_state&, const command_batch&);

/// Returns whether a report of a worker tells something that the state doesn't have yet.
bool changesWorker(const batch_state&, const worker_report&);

/// Returns whether a report comes from a life that is known to be over, or is older than one that was noted.
bool isOutdated(const batch_state&, const worker_report&);

} // namespace chervilport::batch
