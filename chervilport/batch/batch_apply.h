#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"

namespace chervilport::batch {

/// Retention period of ended jobs, in milliseconds.
inline constexpr std::int64_t endedJobRetentionMs = 150'000;

/// Applies committed commands to the state. Deterministic. Commands that no longer match the state are ignored: the
/// leader proposes them from the state at that time, and other commands may be applied before them.
void applyBatch(batch_state&, const command_batch&);

} // namespace chervilport::batch
