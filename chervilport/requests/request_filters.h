#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/requests/request_context.h"
#include "chervilport/requests/request_settings.h"

#include <string_view>

namespace chervilport {

/// First part of the targets of all requests to executors.
constexpr std::string_view requestTargetPrefix = "/v1/requests/";

/// Verifies the bearer token. Throws chervilport_error of kind Unauthenticated.
void checkAccess(request_context&, const request_settings&);

/// Reads workspace and class. Throws chervilport_error of kind Forbidden, InvalidRequest.
void readWorkspaceAndClass(request_context&, const request_settings&);

/// Reads `Chervilport-Deadline-Ms`, counted from the receipt of the request. Throws chervilport_error of kind
/// InvalidRequest, or DeadlineExceeded if the time is over.
void readDeadline(request_context&, const request_settings&);

/// Reads service and target at the upstream. Throws chervilport_error of kind NotFound.
void readRoute(request_context&);

/// Reads `Chervilport-Idempotent` and `Chervilport-Key`. Without the former, POST and PATCH count as non-idempotent, as
/// in the definition of HTTP. Throws chervilport_error of kind InvalidRequest if a non-idempotent request has no key.
void readIdempotency(request_context&);

/// Makes the request to the upstream: without fields that end here, with the rest of the deadline and the number of the
/// attempt.
http_request makeUpstreamRequest(const request_context&, std::string_view attempt, log_time now);

/// Makes the answer to the caller from the response of an upstream: without fields of the connection.
http_response makeCallerResponse(http_response);

/// Makes the answer to an error. An error whose kind says "not run" becomes one that does not, if an attempt may have
/// reached an upstream.
http_response makeRequestError(const request_context&, error_kind, std::string_view message, log_duration retryAfter);

} // namespace chervilport
