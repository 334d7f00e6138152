#pragma once

#include "chervilport/batch/batch_command.h"

#include <cstdint>
#include <string_view>

namespace chervilport {

/// Why the work of a run was lost.
enum class loss_cause : std::uint8_t {
    /// The task failed.
    TaskFailed,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
    /// The worker crashed, was removed, or no longer has the run.
    WorkerEnded,
    /// The lease expired without contact to the worker.
    LeaseExpired,
    /// The run was stopped for a more urgent one.
    Preempted,
    /// The job was cancelled or has failed.
    Cancelled,
    /// The run did not start.
    NotStarted,
    /// The run was stopped for an unknown reason, as by an earlier leader.
    Stopped,
};

/// Returns the name of a cause for logs and metrics.
std::string_view nameOf(loss_cause);

/// Returns the cause of an end that is not `Done`, as far as its kind tells.
loss_cause causeOf(batch::run_end_kind);

} // namespace chervilport
