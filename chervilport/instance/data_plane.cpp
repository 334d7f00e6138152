#include "chervilport/instance/data_plane.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/http_client.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/read_tokens.h"
#include "chervilport/logging/log.h"
#include "chervilport/metrics/metric_registry.h"
#include "chervilport/requests/announcement_codec.h"
#include "chervilport/requests/request_pipeline.h"
#include "chervilport/requests/routing_state.h"
#include "chervilport/routing/slot_ledger.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "requests";
    constexpr std::chrono::milliseconds pollInterval { 20 };
    // Without queued requests, a report every 2 s renews shares of 10 s in time at little cost.
    constexpr log_duration idleReportInterval = std::chrono::seconds(2);
    constexpr log_duration busyReportInterval = std::chrono::milliseconds(50);
    // A change of an upstream is sent three times, so that it takes effect within 2 s even if two notices are lost.
    constexpr log_duration changeRepeatInterval = std::chrono::milliseconds(500);
    constexpr log_duration ownerLostTimeout = std::chrono::seconds(10);
    constexpr int changeRepeats = 3;
    constexpr int renewalsPerExpiry = 4;
    constexpr int reportsPerExpiry = 3;

    std::string instanceName(std::uint64_t instance) { return std::to_string(instance); }

    std::string_view stateName(upstream_state state)
    {
        switch (state) {
        case upstream_state::Ready:
            return "ready";
        case upstream_state::Leaving:
            return "leaving";
        case upstream_state::Gone:
            return "gone";
        }
        return "unknown";
    }

    std::string_view className(request_class priority)
    {
        return priority == request_class::Urgent  ? "urgent"
            : priority == request_class::Standard ? "standard"
                                                  : "batch";
    }

} // namespace

struct data_plane::implementation {
    implementation(asio::io_context& context, const settings& givenSettings, std::uint64_t givenIncarnation,
        http_client& givenClient, metric_registry& givenMetrics, data_plane_hooks givenHooks)
        : values(givenSettings)
        , incarnation(givenIncarnation)
        , client(givenClient)
        , metrics(givenMetrics)
        , hooks(std::move(givenHooks))
        , access(readTokens(values.tokenFile))
        , timer(context)
    {
        routing.registry.settings.expiry = values.announcementExpiry;
        routing.slots.instance = instanceName(values.instanceId);
        routing.slots.incarnation = incarnation;
        pipeline = std::make_shared<request_pipeline>(pipelineSettings(), routing, pipelineDependencies());
    }

    request_settings pipelineSettings() const;
    request_dependencies pipelineDependencies();
    void endEarlierIncarnations();
    void scheduleTick();
    void tick();
    void reportShares(log_time now);
    void broadcastAnnouncements(log_time now);
    void drain(const upstream_id&);
    void merge(const upstream_announcement&, bool fromUpstream);
    void processReport(std::uint64_t instance, const share_report&);
    void updateLedgerExecutors();
    std::set<std::string> domainInstances() const;

    settings values;
    std::uint64_t incarnation;
    http_client& client;
    metric_registry& metrics;
    data_plane_hooks hooks;
    access_policy access;
    asio::steady_timer timer;
    routing_state routing;
    std::shared_ptr<request_pipeline> pipeline;
    std::optional<slot_ledger> ledger;
    log_time nextReport;
    log_time nextBroadcast;
    log_time nextCleanup;
    std::map<std::string, int> pendingChanges;
    std::set<std::string> pendingRenewals;
    log_time nextRenewal;
};

data_plane::data_plane(asio::io_context& context, const settings& values, std::uint64_t incarnation,
    http_client& client, metric_registry& metrics, data_plane_hooks hooks)
    : m_implementation(
        std::make_unique<implementation>(context, values, incarnation, client, metrics, std::move(hooks)))
{
}

data_plane::~data_plane() = default;

void data_plane::start()
{
    m_implementation->endEarlierIncarnations();
    m_implementation->scheduleTick();
}

void data_plane::stop() { m_implementation->timer.cancel(); }

void data_plane::beginDrain() { m_implementation->pipeline->beginDrain(); }

void data_plane::handleRequest(http_request request, http_responder responder)
{
    m_implementation->pipeline->handle(std::move(request), std::move(responder));
}

http_response data_plane::announceExecutor(std::string_view body)
{
    const auto announcement = parseExecutorAnnouncement(body);
    if (announcement.failureDomain != m_implementation->values.failureDomain)
        throw chervilport_error(error_kind::InvalidRequest,
            "the executor belongs to failure domain " + announcement.failureDomain + ", this instance to "
                + m_implementation->values.failureDomain);
    m_implementation->merge(announcement, true);
    const auto renewal = m_implementation->values.announcementExpiry / reportsPerExpiry;
    const nlohmann::json reply { { "renew_ms", renewal.count() } };
    return { 200, { { "Content-Type", "application/json" } }, reply.dump() };
}

void data_plane::receive(std::uint64_t instance, const routing_notice& notice)
{
    auto& self = *m_implementation;
    if (const auto* const batch = std::get_if<announcement_batch>(&notice)) {
        for (const auto& announcement : batch->announcements)
            self.merge(announcement, false);
        for (const auto& id : batch->drained)
            self.drain(id);
    } else if (const auto* const report = std::get_if<share_report>(&notice)) {
        self.processReport(instance, *report);
    } else if (applyGrant(self.routing.slots, std::get<share_grant>(notice))) {
        self.pipeline->poll();
    }
}

void data_plane::leadershipChanged(bool leading, std::uint64_t term)
{
    auto& self = *m_implementation;
    if (!leading) {
        self.ledger.reset();
        return;
    }
    // Only a leader after the first one has to wait until shares granted by earlier leaders expire.
    const auto earlier
        = term > 1 && self.values.instances.size() > 1 ? self.domainInstances() : std::set<std::string> {};
    self.ledger = makeLedger(slot_share_settings {}, earlier, monotonicNow());
    self.updateLedgerExecutors();
}

void data_plane::setWorkspaces(std::set<std::string, std::less<>> names)
{
    m_implementation->pipeline->setAccess(m_implementation->access, std::move(names));
}

std::string data_plane::describeUpstreams() const
{
    const auto& self = *m_implementation;
    const auto now = monotonicNow();
    auto list = nlohmann::json::array();
    for (const auto& [address, entry] : self.routing.registry.entries) {
        const auto& announcement = entry.announcement;
        const auto held = self.routing.slots.slots.find(announcement.id);
        const bool hasSlots = held != self.routing.slots.slots.end();
        list.push_back({ { "address", address }, { "kind", "executor" }, { "service", announcement.service },
            { "failure_domain", announcement.failureDomain }, { "incarnation", announcement.id.incarnation },
            { "state", entry.isDrained ? "drained" : stateName(announcement.state) },
            { "present", isPresent(self.routing.registry, entry, now) },
            { "ejected", isEjected(self.routing.health, announcement.id) }, { "slots", announcement.slots },
            { "share", hasSlots ? held->second.granted : 0 }, { "in_use", hasSlots ? held->second.inUse : 0 } });
    }
    return nlohmann::json { { "upstreams", std::move(list) } }.dump();
}

bool data_plane::drainUpstream(std::string_view address)
{
    auto& self = *m_implementation;
    const auto entry = self.routing.registry.entries.find(address);
    if (entry == self.routing.registry.entries.end())
        return false;
    self.drain(entry->second.announcement.id);
    // The periodic renewals repeat the drain for instances that miss this notice or start later.
    self.hooks.notifyDomain(announcement_batch { {}, { entry->second.announcement.id } });
    return true;
}

std::size_t data_plane::inFlight() const { return m_implementation->pipeline->inFlight(); }

void data_plane::recordGauges()
{
    const auto& self = *m_implementation;
    std::int64_t granted = 0;
    std::int64_t inUse = 0;
    for (const auto& [id, held] : self.routing.slots.slots) {
        granted += held.granted;
        inUse += held.inUse;
    }
    self.metrics.set("chervilport_slots_granted", {}, static_cast<double>(granted));
    self.metrics.set("chervilport_slots_in_use", {}, static_cast<double>(inUse));
    self.metrics.set("chervilport_requests_in_flight", {}, static_cast<double>(self.pipeline->inFlight()));
    self.metrics.set("chervilport_requests_waiting", {}, static_cast<double>(self.pipeline->queuedRequests()));
    self.metrics.set("chervilport_upstreams_known", {}, static_cast<double>(self.routing.registry.entries.size()));
}

request_settings data_plane::implementation::pipelineSettings() const
{
    request_settings pipelineValues;
    pipelineValues.access = access;
    pipelineValues.queue.maxLength = values.maxQueuedRequests;
    pipelineValues.owner = { instanceName(values.instanceId), incarnation };
    return pipelineValues;
}

request_dependencies data_plane::implementation::pipelineDependencies()
{
    request_dependencies dependencies;
    dependencies.now = monotonicNow;
    dependencies.send = [this](http_client_request request, http_client::callback done) {
        client.send(std::move(request), std::move(done));
    };
    dependencies.claims = hooks.claims;
    dependencies.observe = [this](const request_observation& observation) {
        const std::vector<metric_label> labels { { "workspace", observation.workspace },
            { "class", std::string(className(observation.priority)) } };
        const auto seconds = std::chrono::duration<double>(observation.duration).count();
        metrics.observe("chervilport_request_seconds", labels, seconds);
        metrics.increment("chervilport_requests_total",
            { { "service", observation.service }, { "status", std::to_string(observation.status) } });
        if (observation.attempts > 1)
            metrics.increment("chervilport_request_retries_total", { { "service", observation.service } },
                static_cast<std::uint64_t>(observation.attempts - 1));
    };
    dependencies.seed = values.instanceId;
    return dependencies;
}

void data_plane::implementation::endEarlierIncarnations()
{
    // End the claims of earlier incarnations of this instance, because their owners can no longer do so.
    claim_step step;
    step.kind = claim_step_kind::OwnerLost;
    step.owner = { instanceName(values.instanceId), incarnation };
    hooks.claims.submit(step, ownerLostTimeout, [this](const claim_store_reply& reply) {
        if (!reply.reply)
            endEarlierIncarnations();
    });
}

void data_plane::implementation::scheduleTick()
{
    timer.expires_after(pollInterval);
    timer.async_wait([this](const std::error_code& error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void data_plane::implementation::tick()
{
    const auto now = monotonicNow();
    pipeline->poll();
    if (now >= nextReport || (pipeline->queuedRequests() > 0 && now >= routing.slots.reportedAt + busyReportInterval))
        reportShares(now);
    if (now >= nextBroadcast)
        broadcastAnnouncements(now);
    if (now >= nextCleanup) {
        nextCleanup = now + values.announcementExpiry;
        removeAbsent(routing.registry, now);
        updateLedgerExecutors();
    }
}

void data_plane::implementation::reportShares(log_time now)
{
    nextReport = now + idleReportInterval;
    hooks.notifyLeader(makeReport(routing.slots, pipeline->demand(), now));
}

void data_plane::implementation::broadcastAnnouncements(log_time now)
{
    nextBroadcast = now + changeRepeatInterval;
    announcement_batch batch;
    const auto add = [&](const std::string& address) {
        const auto entry = routing.registry.entries.find(address);
        if (entry != routing.registry.entries.end())
            batch.announcements.push_back(entry->second.announcement);
    };
    // Add changed announcements, each in a limited number of broadcasts.
    for (auto each = pendingChanges.begin(); each != pendingChanges.end();) {
        add(each->first);
        pendingRenewals.erase(each->first);
        each = --each->second > 0 ? std::next(each) : pendingChanges.erase(each);
    }
    // Add unchanged announcements and drains at the longer renewal interval.
    if (now >= nextRenewal) {
        nextRenewal = now + log_duration(values.announcementExpiry) / renewalsPerExpiry;
        for (const auto& address : pendingRenewals)
            add(address);
        pendingRenewals.clear();
        for (const auto& [address, entry] : routing.registry.entries) {
            if (entry.isDrained)
                batch.drained.push_back(entry.announcement.id);
        }
    }
    if (!batch.announcements.empty() || !batch.drained.empty())
        hooks.notifyDomain(batch);
}

void data_plane::implementation::drain(const upstream_id& id)
{
    const auto entry = routing.registry.entries.find(id.address);
    const bool isCurrent = entry != routing.registry.entries.end() && entry->second.announcement.id == id;
    if (!isCurrent || entry->second.isDrained)
        return;
    chervilport::drainUpstream(routing.registry, id.address);
    logInfo(part, "executor " + id.address + " drained");
    updateLedgerExecutors();
    reportShares(monotonicNow());
}

void data_plane::implementation::merge(const upstream_announcement& announcement, bool fromUpstream)
{
    const auto now = monotonicNow();
    const auto effect = mergeAnnouncement(routing.registry, announcement, now);
    if (effect == announcement_effect::Refused)
        throw chervilport_error(
            error_kind::Overloaded, "too many upstreams are known; " + announcement.id.address + " is refused");
    if (effect == announcement_effect::Ignored)
        return;
    // Queue the announcement of a directly connected executor for broadcast.
    const bool isChange = effect != announcement_effect::Renewed;
    if (fromUpstream) {
        if (isChange)
            pendingChanges[announcement.id.address] = changeRepeats;
        else
            pendingRenewals.insert(announcement.id.address);
    }
    if (!isChange)
        return;
    // Publish a change at once and use new capacity.
    logInfo(part, "executor " + announcement.id.address + " is " + std::string(stateName(announcement.state)));
    if (fromUpstream)
        broadcastAnnouncements(now);
    updateLedgerExecutors();
    reportShares(now);
    pipeline->poll();
}

void data_plane::implementation::processReport(std::uint64_t instance, const share_report& report)
{
    if (!ledger)
        return;
    if (const auto grant = chervilport::processReport(*ledger, report, monotonicNow()))
        hooks.notifyInstance(instance, *grant);
}

void data_plane::implementation::updateLedgerExecutors()
{
    if (!ledger)
        return;
    const auto now = monotonicNow();
    std::vector<ledger_executor> executors;
    for (const auto& [address, entry] : routing.registry.entries) {
        const auto& announcement = entry.announcement;
        if (!isPresent(routing.registry, entry, now))
            continue;
        const auto slots = acceptsWork(routing.registry, entry, now) ? announcement.slots : 0;
        executors.push_back({ announcement.id, announcement.service, slots });
    }
    setExecutors(*ledger, executors);
}

std::set<std::string> data_plane::implementation::domainInstances() const
{
    std::set<std::string> names;
    for (const auto& listed : values.instances) {
        if (listed.failureDomain == values.failureDomain)
            names.insert(instanceName(listed.id));
    }
    return names;
}

} // namespace chervilport
