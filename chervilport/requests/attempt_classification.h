#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/http/http_result.h"
#include "chervilport/routing/upstream_health.h"

#include <string>
#include <string_view>

namespace chervilport {

/// What the end of an attempt means for its request.
struct attempt_classification {
    /// Whether the upstream may have run the request.
    bool mayHaveRun = false;
    /// Whether another attempt is permitted: nothing was run, or the request is idempotent and another attempt may
    /// help.
    bool mayRetry = false;
    /// Whether the response of the upstream is the answer to the caller if there is no other attempt.
    bool hasResponse = false;
    /// Error for the caller if there is neither another attempt nor an answer.
    error_kind error = error_kind::Internal;
    /// Description of that error.
    std::string message;
    /// What it says about the health of the upstream.
    attempt_result result = attempt_result::Success;
};

/// Judges the end of an attempt. `attempt` is the number that was sent with it.
attempt_classification classifyAttempt(const http_result&, std::string_view attempt, bool isIdempotent);

} // namespace chervilport
