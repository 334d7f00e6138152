#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/requests/claim_state.h"

#include <functional>
#include <optional>
#include <string>

namespace chervilport {

/// What the log of the domain answered to a step.
struct claim_store_reply {
    /// The reply of the committed step; nothing if it is not known to be committed.
    std::optional<claim_reply> reply;
    /// Without a reply: why, for example `NotLeader` or `Unavailable`.
    error_kind failure = error_kind::Unavailable;
};

/// The claims of the domain as the request path uses them.
struct claim_store {
    /// Writes a step to the log of the domain, on whichever instance leads it, and calls back once on the io thread.
    /// `timeout` bounds the time until then. A step that may or may not be committed has no reply.
    std::function<void(claim_step, log_duration timeout, std::function<void(claim_store_reply)>)> submit;
};

} // namespace chervilport
