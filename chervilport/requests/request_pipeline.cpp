#include "chervilport/requests/request_pipeline.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/requests/attempt_classification.h"
#include "chervilport/requests/request_filters.h"
#include "chervilport/requests/request_headers.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chervilport {

namespace {

    /// Timeout of one try to submit the end of a claim, and maximum number of tries: together longer than a change of
    /// the leader takes. A claim whose end is not committed becomes uncertain.
    constexpr log_duration claimEndTimeout = std::chrono::seconds(2);
    constexpr int claimEndTries = 4;

    /// Header field that marks a stored response to an earlier copy of the request.
    constexpr std::string_view replayedHeader = "Chervilport-Replayed";

} // namespace

request_pipeline::request_pipeline(request_settings settings, routing_state& routing, request_dependencies dependencies)
    : m_settings(std::move(settings))
    , m_routing(routing)
    , m_dependencies(std::move(dependencies))
{
}

void request_pipeline::setAccess(access_policy access, std::set<std::string, std::less<>> workspaces)
{
    m_settings.access = std::move(access);
    m_settings.workspaces = std::move(workspaces);
}

void request_pipeline::handle(http_request request, http_responder responder)
{
    // Stores the request, so that it is found when an asynchronous operation completes.
    const auto id = ++m_lastId;
    auto& context = m_requests[id];
    context.id = id;
    context.request = std::move(request);
    context.responder = std::move(responder);
    context.receivedAt = m_dependencies.now();
    m_pendingBytes += context.request.body.size();
    try {
        applyFilters(context);
    } catch (const chervilport_error& error) {
        fail(context, error.kind(), error.what());
        return;
    }
    // A non-idempotent request is admitted after its claim is granted.
    if (context.isIdempotent)
        admit(context);
    else
        claim(context);
}

void request_pipeline::applyFilters(request_context& context)
{
    checkAccess(context, m_settings);
    readWorkspaceAndClass(context, m_settings);
    readDeadline(context, m_settings);
    readRoute(context);
    readIdempotency(context);
    if (m_isDraining)
        throw chervilport_error(error_kind::Draining, "the instance is stopping");
    if (m_pendingBytes > m_settings.maxPendingBytes)
        throw chervilport_error(error_kind::Overloaded,
            "the pending requests exceed " + std::to_string(m_settings.maxPendingBytes) + " bytes");
    if (findExecutors(m_routing.registry, context.service, context.receivedAt).empty())
        throw chervilport_error(error_kind::NoUpstream, "no executor offers the service " + context.service);
}

request_context* request_pipeline::find(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

request_pipeline::service_state& request_pipeline::serviceOf(const request_context& context)
{
    const auto [entry, isNew] = m_services.try_emplace(context.service);
    if (isNew) {
        entry->second.queue.settings = m_settings.queue;
        entry->second.retries = { m_settings.retries, m_settings.retries.maxBalance };
    }
    return entry->second;
}

claim_step request_pipeline::makeStep(const request_context& context, claim_step_kind kind) const
{
    claim_step step;
    step.kind = kind;
    step.key = context.key;
    step.owner = m_settings.owner;
    step.number = context.id;
    step.bodyHash = context.bodyHash;
    return step;
}

void request_pipeline::claim(request_context& context)
{
    const auto left = context.deadline - context.receivedAt;
    auto step = makeStep(context, claim_step_kind::Claim);
    step.uncertainAfter = left + m_settings.claimMargin;
    m_dependencies.claims.submit(
        std::move(step), left, [weak = weak_from_this(), id = context.id](const claim_store_reply& reply) {
            const auto self = weak.lock();
            auto* const claimed = self ? self->find(id) : nullptr;
            if (claimed)
                self->handleClaimReply(*claimed, reply);
        });
}

void request_pipeline::handleClaimReply(request_context& context, const claim_store_reply& reply)
{
    if (!reply.reply) {
        // The claim may be committed already or may still be committed. Nothing was sent to an upstream, so fail()
        // releases it.
        context.hasClaim = true;
        fail(context, reply.failure, "the commit of the claim is not confirmed");
        return;
    }
    switch (reply.reply->verdict) {
    case claim_verdict::Granted:
        context.hasClaim = true;
        admit(context);
        return;
    case claim_verdict::Completed:
        if (!reply.reply->response) {
            fail(context, error_kind::OutcomeUnknown, "the request has run; its response is no longer stored");
            return;
        }
        {
            auto stored = *reply.reply->response;
            stored.headers.push_back({ std::string(replayedHeader), "true" });
            respond(context.id, std::move(stored));
        }
        return;
    case claim_verdict::StillRunning:
        fail(context, error_kind::StillRunning, "the request with this key is still running");
        return;
    case claim_verdict::Uncertain:
        fail(context, error_kind::OutcomeUnknown, "the request with this key may have run");
        return;
    case claim_verdict::KeyReused:
        fail(context, error_kind::KeyReused, "the key was used for another request");
        return;
    case claim_verdict::Full:
        fail(context, error_kind::Overloaded, "the claims of the failure domain have reached their memory limit");
        return;
    }
}

void request_pipeline::admit(request_context& context)
{
    const auto now = m_dependencies.now();
    if (now >= context.deadline) {
        fail(context, error_kind::DeadlineExceeded, "the deadline passed before the request was sent");
        return;
    }
    auto& queue = serviceOf(context).queue;
    const auto service = context.service;
    const auto offer
        = offerRequest(queue, { context.id, context.workspace, context.priority, context.deadline, {} }, now);
    if (offer.displaced) {
        auto* const displaced = find(*offer.displaced);
        assert(displaced);
        displaced->isQueued = false;
        fail(*displaced, error_kind::Overloaded, "the queue is full", expectedWait(queue, displaced->workspace));
    }
    if (!offer.isAdmitted) {
        fail(context, error_kind::Overloaded, "the queue is full or too slow for the deadline", offer.retryAfter);
        return;
    }
    context.isQueued = true;
    dispatchQueued(service);
}

void request_pipeline::dispatchQueued(const std::string& service)
{
    auto& state = m_services[service];
    while (state.queue.length > 0) {
        // Leaves the queue unchanged while no slot is free, so that its order is kept.
        request_context anyRequest;
        anyRequest.service = service;
        if (findCandidates(anyRequest, true, m_dependencies.now()).empty())
            return;
        const auto entry = takeRequest(state.queue, m_dependencies.now());
        auto* const context = find(entry->id);
        assert(context && context->isQueued);
        context->isQueued = false;
        if (m_dependencies.now() >= context->deadline) {
            fail(*context, error_kind::DeadlineExceeded, "the deadline passed in the queue");
            continue;
        }
        if (startAttempt(*context))
            continue;
        // No free slot suits this request; it is queued again, behind the other requests of its workspace.
        if (offerRequest(state.queue, *entry, m_dependencies.now()).isAdmitted)
            context->isQueued = true;
        else
            fail(*context, error_kind::Overloaded, "no suitable executor is free");
        return;
    }
}

std::vector<upstream_candidate> request_pipeline::findCandidates(
    const request_context& context, bool includesTried, log_time now) const
{
    std::vector<upstream_candidate> candidates;
    for (const auto* const entry : findExecutors(m_routing.registry, context.service, now)) {
        const auto& id = entry->announcement.id;
        const auto share = usableSlots(m_routing.slots, id, now);
        const auto held = m_routing.slots.slots.find(id);
        if (share == 0 || held->second.inUse >= share)
            continue;
        if ((!includesTried && context.triedUpstreams.contains(id))
            || !maySend(m_routing.health, id, context.isIdempotent, now))
            continue;
        candidates.push_back(
            { id, share, held->second.inUse, loadFactor(m_routing.health, id, now), isEjected(m_routing.health, id) });
    }
    return candidates;
}

bool request_pipeline::startAttempt(request_context& context)
{
    const auto now = m_dependencies.now();
    auto candidates = findCandidates(context, false, now);
    // An upstream is tried again only if all upstreams of the service have been tried.
    const auto present = findExecutors(m_routing.registry, context.service, now);
    const bool hasTriedAll = std::all_of(present.begin(), present.end(),
        [&](const auto* entry) { return context.triedUpstreams.contains(entry->announcement.id); });
    if (candidates.empty() && hasTriedAll)
        candidates = findCandidates(context, true, now);
    const auto chosen = chooseUpstream(candidates, ++m_dependencies.seed);
    if (!chosen)
        return false;
    sendAttempt(context, candidates[*chosen]);
    return true;
}

void request_pipeline::sendAttempt(request_context& context, const upstream_candidate& chosen)
{
    const auto now = m_dependencies.now();
    auto& service = serviceOf(context);
    // Acquires the slot and counts the attempt.
    [[maybe_unused]] const bool hasSlot = acquireSlot(m_routing.slots, chosen.id, now);
    assert(hasSlot);
    recordSend(m_routing.health, chosen.id, now);
    if (context.attempts == 0)
        depositRetry(service.retries);
    ++service.running;
    ++context.attempts;
    context.triedUpstreams.insert(chosen.id);
    const auto attempt = m_settings.owner.instance + "-" + std::to_string(m_settings.owner.incarnation) + "-"
        + std::to_string(context.id) + "-" + std::to_string(context.attempts);

    // Sends the request.
    http_client_request outgoing;
    outgoing.address = chosen.id.address;
    outgoing.request = makeUpstreamRequest(context, attempt, now);
    const auto timeout = std::min(context.deadline - now, m_settings.maxAttemptDuration);
    outgoing.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    outgoing.maxResponseBytes = m_settings.maxResponseBytes;
    outgoing.reuseConnection = context.isIdempotent;
    m_dependencies.send(std::move(outgoing),
        [weak = weak_from_this(), id = context.id, upstream = chosen.id, attempt](http_result result) {
            if (const auto self = weak.lock())
                self->handleAttemptResult(id, upstream, attempt, std::move(result));
        });
}

void request_pipeline::handleAttemptResult(
    std::uint64_t id, const upstream_id& upstream, const std::string& attempt, http_result result)
{
    // Releases the slot and updates the health of the upstream.
    auto* const context = find(id);
    assert(context);
    const auto service = context->service;
    releaseSlot(m_routing.slots, upstream);
    --m_services[service].running;
    const auto classification = classifyAttempt(result, attempt, context->isIdempotent);
    recordHealth(service, upstream, classification.result);
    context->mayHaveRun = context->mayHaveRun || classification.mayHaveRun;
    if (classification.hasResponse)
        context->upstreamResponse = makeCallerResponse(std::move(result.response));

    // Retries the request or completes it, then uses the released slot for queued requests.
    if (!classification.mayRetry || !retry(*context))
        fail(*context, classification.error, classification.message);
    dispatchQueued(service);
}

bool request_pipeline::retry(request_context& context)
{
    if (context.attempts >= m_settings.maxAttempts || m_dependencies.now() >= context.deadline)
        return false;
    if (!withdrawRetry(serviceOf(context).retries))
        return false;
    if (!startAttempt(context))
        admit(context);
    return true;
}

void request_pipeline::recordHealth(const std::string& service, const upstream_id& upstream, attempt_result result)
{
    const auto now = m_dependencies.now();
    const auto executors = findExecutors(m_routing.registry, service, now);
    const auto ejected = std::count_if(executors.begin(), executors.end(),
        [&](const auto* entry) { return isEjected(m_routing.health, entry->announcement.id); });
    recordAttempt(m_routing.health, upstream, result, static_cast<std::size_t>(ejected), executors.size(), now);
}

void request_pipeline::fail(
    request_context& context, error_kind kind, std::string_view message, log_duration retryAfter)
{
    // A response of an upstream is more informative than an error about the lack of further attempts.
    if (context.upstreamResponse) {
        finish(context, *std::exchange(context.upstreamResponse, std::nullopt), claim_step_kind::Complete);
        return;
    }
    const auto retryDelay = std::max(retryAfter, log_duration(defaultRetryAfter));
    auto response = makeRequestError(context, kind, message, retryDelay);
    finish(context, std::move(response), context.mayHaveRun ? claim_step_kind::Uncertain : claim_step_kind::Release);
}

void request_pipeline::finish(request_context& context, http_response response, claim_step_kind kind)
{
    if (!context.hasClaim) {
        respond(context.id, std::move(response));
        return;
    }
    context.hasClaim = false;
    auto step = makeStep(context, kind);
    constexpr std::size_t maxStoredBytes = claim_settings().maxResponseBytes;
    if (kind == claim_step_kind::Complete && response.body.size() <= maxStoredBytes)
        step.response = response;
    // A caller that receives the outcome `not_run` may resend at once and must find the key free, so its response waits
    // for the first try of the release. Any other response is sent at once, because it is correct whether or not the
    // end of the claim is committed.
    if (kind == claim_step_kind::Release) {
        context.pendingResponse = std::move(response);
        endClaim(step, claimEndTries, [weak = weak_from_this(), id = context.id] {
            const auto self = weak.lock();
            auto* const ended = self ? self->find(id) : nullptr;
            if (ended)
                self->respond(id, std::move(*ended->pendingResponse));
        });
        return;
    }
    respond(context.id, std::move(response));
    endClaim(step, claimEndTries, {});
}

void request_pipeline::endClaim(const claim_step& step, int tries, const std::function<void()>& onFirstTry)
{
    ++m_endingClaims;
    m_dependencies.claims.submit(
        step, claimEndTimeout, [weak = weak_from_this(), step, tries, onFirstTry](const claim_store_reply& reply) {
            const auto self = weak.lock();
            if (!self)
                return;
            --self->m_endingClaims;
            if (onFirstTry)
                onFirstTry();
            if (!reply.reply && tries > 1)
                self->endClaim(step, tries - 1, {});
        });
}

void request_pipeline::respond(std::uint64_t id, http_response response)
{
    const auto node = m_requests.extract(id);
    assert(node);
    const auto& context = node.mapped();
    m_pendingBytes -= context.request.body.size();
    if (m_dependencies.observe) {
        m_dependencies.observe({ context.workspace, context.priority, context.service, response.status,
            context.attempts, m_dependencies.now() - context.receivedAt });
    }
    (*context.responder)(std::move(response));
}

void request_pipeline::poll()
{
    const auto now = m_dependencies.now();
    for (auto& [service, state] : m_services) {
        for (const auto& entry : removeExpired(state.queue, now)) {
            auto* const context = find(entry.id);
            assert(context);
            context->isQueued = false;
            if (now >= context->deadline)
                fail(*context, error_kind::DeadlineExceeded, "the deadline passed in the queue");
            else
                fail(*context, error_kind::Overloaded, "the request exceeded the maximum wait in the queue",
                    expectedWait(state.queue, context->workspace));
        }
        dispatchQueued(service);
    }
}

std::map<std::string, std::int32_t> request_pipeline::demand() const
{
    std::map<std::string, std::int32_t> demand;
    for (const auto& [service, state] : m_services)
        demand[service] = state.running + static_cast<std::int32_t>(state.queue.length);
    return demand;
}

std::size_t request_pipeline::queuedRequests() const
{
    std::size_t sum = 0;
    for (const auto& [service, state] : m_services)
        sum += state.queue.length;
    return sum;
}

} // namespace chervilport
