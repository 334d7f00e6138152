#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_speeds.h"
#include "chervilport/control/node_settings.h"
#include "chervilport/control/worker_client.h"
#include "chervilport/instance/proposal_result.h"

#include <cstdint>
#include <functional>

namespace asio {
class io_context;
}

namespace chervilport {

/// Dependencies of a worker session on the leader that owns it.
struct session_host {
    /// Event loop of the control thread.
    asio::io_context* context = nullptr;
    /// Calls to workers.
    const worker_client* client = nullptr;
    /// Bounds on the behaviour of workers.
    worker_bounds bounds;
    /// Term of the leader.
    std::uint64_t term = 0;
    /// Returns an epoch for fencing tokens above all that were returned in this term.
    std::function<std::uint64_t()> takeEpoch;
    /// Returns the replicated state.
    std::function<const batch::batch_state&()> state;
    /// Returns whether this instance is the leader and no other instance can be.
    std::function<bool()> mayExecute;
    /// Proposes a command and calls back with the result.
    std::function<void(batch::batch_command, std::function<void(proposal_result)>)> propose;
    /// Called when the session's worker may have become usable or unusable, or healthy or unhealthy.
    std::function<void()> changed;
    /// Called with a response that lists a part of the worker's ends or has rows that cannot be read.
    std::function<void(const poll_response&)> listedPartially;
    /// Called when the worker has confirmed the start of a run.
    std::function<void(const batch::run_ref&)> started;
    /// Called when the progress of a run was observed.
    std::function<void(const batch::pace_sample&)> progressed;
    /// Called when the end of a run is committed.
    std::function<void(const batch::run_ref&, batch::run_end_kind)> ended;
};

} // namespace chervilport
