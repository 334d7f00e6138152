#pragma once

#include "chervilport/requests/request_context.h"
#include "chervilport/requests/request_dependencies.h"
#include "chervilport/requests/request_settings.h"
#include "chervilport/requests/routing_state.h"
#include "chervilport/routing/upstream_choice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chervilport {

/// Processes requests from callers to executors. The stages are access, workspace and class, deadline, route, claim,
/// admission, attempts and response. Each request receives exactly one response. All functions must be called on the io
/// thread.
class request_pipeline : public std::enable_shared_from_this<request_pipeline> {
public:
    /// Creates a pipeline without requests. The routing state must outlive it.
    request_pipeline(request_settings, routing_state&, request_dependencies);

    /// Accepts a request whose target starts with requestTargetPrefix.
    void handle(http_request, http_responder);

    /// Starts attempts of queued requests where slots are free, and fails queued requests that have expired. Must be
    /// called after every change of the routing state and at least every 50 ms.
    void poll();

    /// Refuses new requests from now on; requests accepted before are completed.
    void beginDrain() { m_isDraining = true; }

    /// Replaces the access rules and known workspaces after a configuration change.
    void setAccess(access_policy, std::set<std::string, std::less<>> workspaces);

    /// Returns the number of requests without a response plus the number of claims whose end is still being submitted;
    /// a graceful shutdown waits until it is 0.
    std::size_t inFlight() const { return m_requests.size() + m_endingClaims; }

    /// Returns the number of running and queued requests by service, for the report to the leader.
    std::map<std::string, std::int32_t> demand() const;

    /// Returns the number of requests that wait for a slot.
    std::size_t queuedRequests() const;

private:
    struct service_state {
        admission_queue queue;
        retry_budget retries;
        std::int32_t running = 0;
    };

    void applyFilters(request_context&);
    void claim(request_context&);
    void handleClaimReply(request_context&, const claim_store_reply&);
    void admit(request_context&);
    void dispatchQueued(const std::string& service);
    bool startAttempt(request_context&);
    std::vector<upstream_candidate> findCandidates(const request_context&, bool includesTried, log_time now) const;
    void sendAttempt(request_context&, const upstream_candidate&);
    void handleAttemptResult(std::uint64_t id, const upstream_id&, const std::string& attempt, http_result);
    void recordHealth(const std::string& service, const upstream_id&, attempt_result);
    bool retry(request_context&);
    void fail(request_context&, error_kind, std::string_view message, log_duration retryAfter = {});
    void finish(request_context&, http_response, claim_step_kind);
    void endClaim(const claim_step&, int tries, const std::function<void()>& onFirstTry);
    void respond(std::uint64_t id, http_response);
    claim_step makeStep(const request_context&, claim_step_kind) const;
    service_state& serviceOf(const request_context&);
    request_context* find(std::uint64_t id);

    request_settings m_settings;
    routing_state& m_routing;
    request_dependencies m_dependencies;
    std::map<std::uint64_t, request_context> m_requests;
    std::map<std::string, service_state> m_services;
    std::uint64_t m_lastId = 0;
    std::size_t m_pendingBytes = 0;
    std::size_t m_endingClaims = 0;
    bool m_isDraining = false;
};

} // namespace chervilport
