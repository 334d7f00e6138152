#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/http/http_result.h"
#include "chervilport/routing/upstream_health.h"

#include <string>
#include <string_view>

namespace chervilport {

/// What the result of an attempt means for its request.
struct attempt_classification {
    /// Whether the upstream may have run the request.
    bool mayHaveRun = false;
    /// Whether another attempt is permitted: the upstream ran nothing, or the request is idempotent and another attempt
    /// may succeed.
    bool mayRetry = false;
    /// Whether the response of the upstream goes to the caller if no other attempt follows.
    bool hasResponse = false;
    /// Error for the caller if there is neither another attempt nor a response of the upstream.
    error_kind error = error_kind::Internal;
    /// Description of that error.
    std::string message;
    /// Result that the health of the upstream is updated with.
    attempt_result result = attempt_result::Success;
};

/// Classifies the result of an attempt. `attempt` is the attempt number that was sent with the request.
attempt_classification classifyAttempt(const http_result&, std::string_view attempt, bool isIdempotent);

} // namespace chervilport
