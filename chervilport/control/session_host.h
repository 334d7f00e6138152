#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/control/node_settings.h"
#include "chervilport/control/worker_client.h"
#include "chervilport/instance/proposal_result.h"

#include <cstdint>
#include <functional>

namespace asio {
class io_context;
}

namespace chervilport {

/// What the session of a worker needs from the leader that owns it.
struct session_host {
    /// Runs everything.
    asio::io_context* context = nullptr;
    /// Calls to workers.
    const worker_client* client = nullptr;
    /// Bounds of workers.
    worker_bounds bounds;
    /// Term of the leader.
    std::uint64_t term = 0;
    /// The agreed state.
    std::function<const batch::batch_state&()> state;
    /// Whether this instance is leader and no other one can be.
    std::function<bool()> mayExecute;
    /// Proposes a command.
    std::function<void(batch::batch_command, std::function<void(proposal_result)>)> propose;
    /// Tells that the session's worker may have become usable or unusable, or sound or unsound.
    std::function<void()> changed;
    /// Tells that the worker has confirmed the start of a run.
    std::function<void(const batch::run_ref&)> started;
    /// Tells how a run ended on the worker.
    std::function<void(const batch::run_ref&, batch::run_end_kind)> ended;
};

} // namespace chervilport
