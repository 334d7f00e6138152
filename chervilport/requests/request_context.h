#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/core/run_outcome.h"
#include "chervilport/http/http_responder.h"
#include "chervilport/requests/access_policy.h"
#include "chervilport/requests/claim_key.h"
#include "chervilport/routing/admission_entry.h"
#include "chervilport/routing/upstream_id.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace chervilport {

/// State of one request on its path from receipt to response.
struct request_context {
    /// Number of the request at this instance.
    std::uint64_t id = 0;
    /// The request as received.
    http_request request;
    /// Sends the response to the caller.
    std::optional<http_responder> responder;
    /// Time of receipt.
    log_time receivedAt;

    /// Identity of the caller; set by checkAccess().
    caller_identity caller;
    /// Workspace that the request is accounted to; set by readWorkspaceAndClass().
    std::string workspace;
    /// Class of the request; set by readWorkspaceAndClass().
    request_class priority = request_class::Standard;
    /// Time by which the caller needs the response; set by readDeadline().
    log_time deadline;
    /// Requested service; set by readRoute().
    std::string service;
    /// Target of the request to the upstream; set by readRoute().
    std::string upstreamTarget;
    /// Whether the request may run more than once; set by readIdempotency().
    bool isIdempotent = true;
    /// Key of the claim of a non-idempotent request; set by readIdempotency().
    claim_key key;
    /// Hash of method, target and body; set by readIdempotency().
    std::string bodyHash;

    /// Whether this request may hold a claim that has not ended yet.
    bool hasClaim = false;
    /// Whether the request waits in the queue of its service.
    bool isQueued = false;
    /// Number of attempts started.
    int attempts = 0;
    /// Upstreams of all attempts so far.
    std::set<upstream_id> triedUpstreams;
    /// Upstream of the current attempt.
    std::optional<upstream_id> upstream;
    /// Number of the current attempt at the sender.
    std::uint64_t attemptId = 0;
    /// Whether an upstream may have run the request; from then on no error has the outcome `not_run`.
    bool mayHaveRun = false;
    /// Last complete response of an upstream; the caller receives it unless a retry yields another one.
    std::optional<http_response> upstreamResponse;
    /// Response that is sent once the first try to release the claim has been answered.
    std::optional<http_response> pendingResponse;
};

} // namespace chervilport
