#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"

#include <vector>

namespace chervilport::batch {

/// Retention period of ended jobs, in milliseconds.
inline constexpr std::int64_t endedJobRetentionMs = 150'000;

/// Applies committed commands to the state. Deterministic. Commands that no longer match the state are ignored: the
/// leader proposes them from the state at that time, and other commands may be applied before them.
void applyBatch(batch_state&, const command_batch&);

/// Returns the workers that a report ends: another worker started later at their address.
std::vector<worker_number> replacedWorkers(const batch_state&, const worker_report&);

/// Returns whether a report must be recorded: its worker or incarnation is new, or the worker has changed.
bool changesWorker(const batch_state&, const worker_report&);

/// Returns whether a report must be ignored: it comes from an earlier incarnation than the recorded one under its id or
/// at its address, is not newer than the recorded report, or reverts the draining of the worker.
bool isOutdated(const batch_state&, const worker_report&);

} // namespace chervilport::batch
