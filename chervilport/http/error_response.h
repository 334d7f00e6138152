#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/http/http_message.h"

#include <chrono>
#include <string_view>

namespace chervilport {

/// Default `Retry-After` of errors without an estimate.
constexpr std::chrono::seconds defaultRetryAfter { 1 };

/// Returns the response of an error: status and outcome from the table of error kinds, a JSON body, and `Retry-After`
/// where the table requires it (full seconds, at least 1).
http_response makeErrorResponse(
    error_kind, std::string_view message, std::chrono::milliseconds retryAfter = defaultRetryAfter);

} // namespace chervilport
