#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"

#include <functional>

namespace chervilport {

/// A call to the control interface that is routed to the instance that serves it.
struct control_call {
    /// The call as the caller sent it.
    http_request request;
    /// Local monotonic time by which the caller needs a response.
    log_time deadline;
    /// Number of instances that have forwarded it.
    int hops = 0;
    /// Receives the response; called once.
    std::function<void(http_response)> reply;
};

} // namespace chervilport
