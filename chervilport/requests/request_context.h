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

/// Everything that the filters know of one request.
struct request_context {
    /// Number of the request at this instance.
    std::uint64_t id = 0;
    /// The request as received.
    http_request request;
    /// Right to answer it.
    std::optional<http_responder> responder;
    /// When it was received.
    log_time receivedAt;

    /// Who calls; set by checkAccess().
    caller_identity caller;
    /// Workspace that it counts for; set by readWorkspaceAndClass().
    std::string workspace;
    /// Its class; set by readWorkspaceAndClass().
    request_class priority = request_class::Standard;
    /// Time until which an answer is useful; set by readDeadline().
    log_time deadline;
    /// Service that is called; set by readRoute().
    std::string service;
    /// Target at the upstream; set by readRoute().
    std::string upstreamTarget;
    /// Whether it may run more than once; set by readIdempotency().
    bool isIdempotent = true;
    /// Key of the claim of a non-idempotent request; set by readIdempotency().
    claim_key key;
    /// Hash of method, target and body; set by readIdempotency().
    std::string bodyHash;

    /// Whether a claim was granted and not yet ended.
    bool hasClaim = false;
    /// Whether it waits in the queue of its service.
    bool isQueued = false;
    /// Attempts begun.
    int attempts = 0;
    /// Upstreams that were tried.
    std::set<upstream_id> triedUpstreams;
    /// Upstream of the present attempt.
    std::optional<upstream_id> upstream;
    /// Number of the present attempt at the sender.
    std::uint64_t attemptId = 0;
    /// Whether an attempt may have reached an upstream; from then on no error says "not run".
    bool mayHaveRun = false;
    /// Last whole answer of an upstream, which the caller receives unless a retry brings another one.
    std::optional<http_response> upstreamResponse;
    /// Answer that waits for the end of the claim.
    std::optional<http_response> pendingResponse;
};

} // namespace chervilport
