#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/requests/request_context.h"
#include "chervilport/requests/request_settings.h"

#include <string_view>

namespace chervilport {

/// Prefix of the targets of all requests to executors.
constexpr std::string_view requestTargetPrefix = "/v1/requests/";

/// Verifies the bearer token. Throws chervilport_error of kind Unauthenticated.
void checkAccess(request_context&, const request_settings&);

/// Reads workspace and class. Throws chervilport_error of kind Forbidden or InvalidRequest.
void readWorkspaceAndClass(request_context&, const request_settings&);

/// Reads `Chervilport-Deadline-Ms`, in milliseconds after the receipt of the request. Throws chervilport_error of kind
/// InvalidRequest, or DeadlineExceeded if the value is not positive.
void readDeadline(request_context&, const request_settings&);

/// Reads the service and the target of the request to the upstream. Throws chervilport_error of kind NotFound.
void readRoute(request_context&);

/// Reads `Chervilport-Idempotent` and `Chervilport-Key`. Without the former, POST and PATCH count as non-idempotent, as
/// HTTP defines. Throws chervilport_error of kind InvalidRequest if a non-idempotent request has no key.
void readIdempotency(request_context&);

/// Builds the request to the upstream: without the header fields that are not forwarded, and with the workspace, the
/// remaining time to the deadline in milliseconds, and the attempt number.
http_request makeUpstreamRequest(const request_context&, std::string_view attempt, log_time now);

/// Builds the response to the caller from the response of an upstream: removes hop-by-hop fields and the attempt
/// number.
http_response makeCallerResponse(http_response);

/// Builds an error response. If an upstream may have run the request, an error kind with the outcome `not_run` is
/// replaced by UpstreamFailed, or by OutcomeUnknown for a non-idempotent request.
http_response makeRequestError(const request_context&, error_kind, std::string_view message, log_duration retryAfter);

} // namespace chervilport
