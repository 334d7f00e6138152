#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/core/log_time.h"
#include "chervilport/http/http_client.h"
#include "chervilport/requests/claim_store.h"
#include "chervilport/routing/admission_entry.h"
#include "chervilport/routing/upstream_announcement.h"

#include <functional>
#include <string>

namespace chervilport {

/// Summary of a completed request, for metrics and logs.
struct request_observation {
    /// Workspace; empty if the request was refused before the workspace was read.
    std::string workspace;
    /// Class of the request.
    request_class priority = request_class::Standard;
    /// Requested service; empty if the request was refused before the route was read.
    std::string service;
    /// HTTP status of the response.
    int status = 0;
    /// Number of attempts at upstreams.
    int attempts = 0;
    /// Time from receipt to response.
    log_duration duration {};
};

/// External services that the request path uses. All functions are called on the io thread.
struct request_dependencies {
    /// Returns the local monotonic time.
    std::function<log_time()> now;
    /// Sends a request; see http_client::send().
    std::function<void(http_client_request, http_client::callback)> send;
    /// Claims of the failure domain.
    claim_store claims;
    /// Called for every completed request; may be empty.
    std::function<void(const request_observation&)> observe;
    /// Seed of the choice between equally loaded upstreams; differs between instances.
    std::uint64_t seed = 0;
};

} // namespace chervilport
