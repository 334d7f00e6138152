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

/// What is known of a request after its answer; for metrics and logs.
struct request_observation {
    /// Workspace; empty if the request was refused before it was known.
    std::string workspace;
    /// Class.
    request_class priority = request_class::Standard;
    /// Service.
    std::string service;
    /// Status of the answer.
    int status = 0;
    /// Attempts at upstreams.
    int attempts = 0;
    /// Time from receipt to answer.
    log_duration duration {};
};

/// What the request path needs from its surroundings. All functions are called on the io thread.
struct request_dependencies {
    /// Returns the local monotonic time.
    std::function<log_time()> now;
    /// Sends a request; see http_client::send().
    std::function<void(http_client_request, http_client::callback)> send;
    /// Claims of the domain.
    claim_store claims;
    /// Receives every answered request; may be empty.
    std::function<void(const request_observation&)> observe;
    /// Start of the choice between equal upstreams; differs between instances.
    std::uint64_t seed = 0;
};

} // namespace chervilport
