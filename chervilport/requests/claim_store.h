#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/requests/claim_state.h"

#include <functional>
#include <optional>
#include <string>

namespace chervilport {

/// Result of submitting a step to the log of the failure domain.
struct claim_store_reply {
    /// Reply to the committed step; empty if the commit is not confirmed.
    std::optional<claim_reply> reply;
    /// Reason for a missing reply, for example `NotLeader` or `Unavailable`.
    error_kind failure = error_kind::Unavailable;
};

/// Access of the request path to the claims of the failure domain.
struct claim_store {
    /// Submits a step to the leader of the failure domain, which may be this or another instance, and calls back
    /// exactly once on the io thread, within `timeout`. The result has no reply if the step may or may not be
    /// committed.
    std::function<void(claim_step, log_duration timeout, std::function<void(claim_store_reply)>)> submit;
};

} // namespace chervilport
