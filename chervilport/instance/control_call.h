#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"

#include <functional>

namespace chervilport {

/// A call to the control interface on its way to the instance that serves it.
struct control_call {
    /// The call as the caller sent it.
    http_request request;
    /// Local monotonic time by which the caller needs an answer.
    log_time deadline;
    /// How many instances forwarded it so far.
    int hops = 0;
    /// Takes the answer; called once.
    std::function<void(http_response)> reply;
};

} // namespace chervilport
