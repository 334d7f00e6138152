#include "chervilport/instance/control_core.h"

#include "chervilport/configuration/environment_document.h"
#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/configuration_controller.h"
#include "chervilport/instance/configuration_json.h"
#include "chervilport/instance/control_api.h"
#include "chervilport/instance/domain_controller.h"
#include "chervilport/instance/job_json.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/peer_network.h"
#include "chervilport/instance/peer_response.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/instance/worker_controller.h"
#include "chervilport/logging/log.h"
#include "chervilport/metrics/metric_registry.h"
#include "chervilport/requests/claim_reply_codec.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace chervilport {

namespace {

    constexpr int okStatus = 200;
    constexpr log_duration capacityTimeout = std::chrono::seconds(2);

    std::string_view roleName(replica_role role)
    {
        switch (role) {
        case replica_role::Learner:
            return "learner";
        case replica_role::Follower:
            return "follower";
        case replica_role::Candidate:
            return "candidate";
        case replica_role::Leader:
            return "leader";
        }
        return "unknown";
    }

    nlohmann::json describeMembers(std::span<const member> members)
    {
        auto list = nlohmann::json::array();
        for (const auto& each : members) {
            list.push_back({ { "instance", static_cast<std::uint64_t>(each.id) }, { "incarnation", each.incarnation },
                { "disk", each.hasDisk } });
        }
        return list;
    }

    nlohmann::json describeGroup(const replica_group& group)
    {
        const auto status = group.status();
        return { { "role", roleName(status.role) }, { "term", status.term },
            { "leader", status.leader ? nlohmann::json(static_cast<std::uint64_t>(*status.leader)) : nullptr },
            { "commit_index", status.commitIndex }, { "applied_index", group.appliedIndex() },
            { "storage_failed", group.hasFailed() }, { "voters", describeMembers(status.members.voters) },
            { "learners", describeMembers(status.members.learners) } };
    }

    double secondsBetween(log_time from, log_time to) { return std::chrono::duration<double>(to - from).count(); }

} // namespace

void control_core::submitClaim(
    const claim_step& step, log_duration timeout, std::function<void(claim_store_reply)> done)
{
    auto call = std::make_shared<control_call>();
    call->request = { "POST", std::string(control_api::claimPath), {}, encodeClaimStep(step) };
    call->deadline = monotonicNow() + timeout;
    call->reply = [done = std::move(done)](const http_response& response) {
        done({ readClaimResponse(response), error_kind::Unavailable });
    };
    m_api->handle(call);
}

void control_core::applyClaim(std::string_view step, std::function<void(http_response)> reply)
{
    m_domain->submitClaim(
        decodeClaimStep(step), [reply = std::move(reply)](proposal_result result, const claim_reply& claimReply) {
            if (result == proposal_result::Committed)
                reply({ okStatus, {}, encodeClaimReply(claimReply) });
            else if (result == proposal_result::NotCommitted)
                reply(makeErrorResponse(error_kind::NotLeader, "this instance does not lead the domain"));
            else
                reply(
                    makeErrorResponse(error_kind::OutcomeUnknown, "leadership was lost before the step was confirmed"));
        });
}

void control_core::notifyDomain(const std::string& notice)
{
    if (m_peers)
        m_peers->notify(instancesOf(m_settings.failureDomain), notice);
}

void control_core::notifyLeader(const std::string& notice)
{
    if (const auto leader = m_domainGroup->status().leader)
        notify(static_cast<std::uint64_t>(*leader), notice);
}

void control_core::notify(std::uint64_t instance, const std::string& notice)
{
    if (instance == m_settings.instanceId)
        m_hooks.receiveNotice(instance, notice);
    else if (m_peers)
        m_peers->notify(std::span(&instance, 1), notice);
}

void control_core::domainStatusChanged(const replica_status& status)
{
    m_ready = status.leader.has_value() && !m_domainGroup->hasFailed();
    const bool leads = status.role == replica_role::Leader && status.ready;
    if (leads != m_leading)
        m_workers->leadershipChanged(leads);
    m_domain->statusChanged(status);
    if (leads == m_leading)
        return;
    m_leading = leads;
    m_hooks.leadershipChanged(leads, status.term);
    if (leads)
        proposeConfiguration();
}

void control_core::productionChanged(const production_copy& copy)
{
    if (m_peers) {
        m_peers->publishConfiguration(copy.version, copy.document);
        m_peers->announceConfiguration(instancesOf(m_settings.failureDomain));
    }
    const auto parsed = parseEnvironment(copy.document);
    std::set<std::string, std::less<>> workspaces;
    if (parsed.config) {
        for (const auto& domain : parsed.config->domains) {
            for (const auto& workspace : domain.workspaces)
                workspaces.insert(workspace.name);
        }
    }
    m_hooks.workspacesChanged(std::move(workspaces));
    m_metrics.set("chervilport_configuration_version", {}, static_cast<double>(copy.version));
    if (m_leading)
        proposeConfiguration();
}

void control_core::proposeConfiguration()
{
    const auto& production = m_configuration->production();
    const auto applied = configurationVersion(m_domain->schedule());
    if (production.version < applied || (production.version == applied && applied > 0))
        return;
    configuration_changed change;
    change.version = production.version;
    if (!production.version) {
        // Until a document is promoted, one workspace without a guarantee may use the whole capacity.
        change.workspaces.push_back({ "default", {}, -1, {} });
    } else {
        const auto parsed = parseEnvironment(production.document);
        if (!parsed.config) {
            logError("configuration",
                "production document " + std::to_string(production.version)
                    + " cannot be parsed by this version of the program");
            return;
        }
        change.policy = parsed.config->policy;
        for (const auto& domain : parsed.config->domains) {
            if (domain.name == m_settings.failureDomain)
                change.workspaces = domain.workspaces;
        }
    }
    m_domain->submit(change);
}

void control_core::observeConfiguration(std::uint64_t instance, std::uint64_t version)
{
    if (m_fetching || version <= m_configuration->production().version)
        return;
    m_fetching = true;
    m_peers->fetchConfiguration(instance, m_configuration->production().version,
        [weak = weak_from_this()](std::uint64_t fetched, const std::string& document) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->m_fetching = false;
            if (fetched)
                self->m_configuration->adopt({ fetched, document });
        });
}

void control_core::observe(std::span<const command> commands) const
{
    for (const auto& each : commands) {
        const auto* const changed = std::get_if<job_changed>(&each);
        if (!changed)
            continue;
        logInfo("jobs",
            "job " + formatJobId(m_settings.failureDomain, changed->job) + " attempt "
                + std::to_string(changed->attempt) + " is now in state " + std::string(toString(changed->state))
                + (changed->reason.empty() ? "" : ": " + changed->reason));
        const auto job = m_leading ? findJob(m_domain->schedule(), changed->job) : std::nullopt;
        if (!job)
            continue;
        const std::vector<metric_label> labels { { "workspace", job->spec.workspace },
            { "class", std::string(className(job->spec.jobClass)) } };
        if (changed->state == job_state::Running && job->startedAt)
            m_metrics.observe(
                "chervilport_job_wait_seconds", labels, secondsBetween(job->submittedAt, *job->startedAt));
        if (job->endedAt) {
            m_metrics.observe(
                "chervilport_job_completion_seconds", labels, secondsBetween(job->submittedAt, *job->endedAt));
            m_metrics.increment("chervilport_jobs_ended_total",
                { { "workspace", job->spec.workspace }, { "state", std::string(toString(changed->state)) } });
        }
    }
}

void control_core::forward(
    std::uint64_t instance, const control_call& call, const std::function<void(forward_outcome)>& done)
{
    if (m_peers)
        m_peers->forward(instance, call, done);
    else
        done({ std::nullopt, true,
            "instance " + std::to_string(instance) + " is unreachable: no other instances are configured" });
}

void control_core::recordGauges()
{
    if (!m_peers)
        return;
    for (const auto& [peer, counted] : m_peers->counters().peers) {
        const auto name = std::to_string(static_cast<std::uint64_t>(peer));
        const auto set = [&](std::string_view metric, const char* direction, std::uint64_t value) {
            m_metrics.set(metric, { { "peer", name }, { "direction", direction } }, static_cast<double>(value));
        };
        set("chervilport_peer_bytes_total", "in", counted.bytesIn);
        set("chervilport_peer_bytes_total", "out", counted.bytesOut);
        set("chervilport_peer_messages_total", "in", counted.messagesIn);
        set("chervilport_peer_messages_total", "out", counted.messagesOut);
        m_metrics.set("chervilport_peer_connected", { { "peer", name } }, counted.connected ? 1 : 0);
    }
}

domain_capacity control_core::ownCapacity() const
{
    domain_capacity capacity;
    capacity.name = m_settings.failureDomain;
    for (const auto& worker : listWorkers(m_domain->schedule())) {
        if (worker.leaving)
            continue;
        auto& groups = capacity.groups;
        const auto same = std::find_if(groups.begin(), groups.end(), [&](const worker_group& group) {
            return group.rackPosition == worker.rackPosition && group.capacity == worker.capacity;
        });
        if (same == groups.end())
            groups.push_back({ worker.rackPosition, 1, worker.capacity });
        else
            ++same->workers;
    }
    return capacity;
}

void control_core::collectCapacity(const std::function<void(std::vector<domain_capacity>)>& done)
{
    struct collection {
        std::size_t remaining = 0;
        std::vector<domain_capacity> capacity;
    };
    std::set<std::string> domains { m_settings.failureDomain };
    for (const auto& listed : m_settings.instances)
        domains.insert(listed.failureDomain);

    // Ask the leader of each domain. A domain that does not respond in time is omitted, so that its guarantees fail
    // the proof.
    const auto shared = std::make_shared<collection>();
    shared->remaining = domains.size();
    for (const auto& domain : domains) {
        auto call = std::make_shared<control_call>();
        call->request = { "GET", std::string(control_api::capacityPath), {}, "" };
        call->deadline = monotonicNow() + capacityTimeout;
        call->reply = [shared, done](const http_response& response) {
            if (auto capacity = readCapacityResponse(response))
                shared->capacity.push_back(std::move(*capacity));
            if (--shared->remaining == 0)
                done(std::move(shared->capacity));
        };
        if (domain == m_settings.failureDomain)
            m_api->handle(call);
        else
            m_api->handleInDomain(call, domain);
    }
}

std::string control_core::describeStatus() const
{
    const auto fleet = viewFleet(m_domain->schedule());
    nlohmann::json document {
        { "instance", m_settings.instanceId },
        { "incarnation", m_storage.incarnation() },
        { "failure_domain", m_settings.failureDomain },
        { "ready", m_ready.load() },
        { "configuration",
            { { "production_version", m_configuration->production().version },
                { "scheduler_version", configurationVersion(m_domain->schedule()) } } },
        { "domain_log", describeGroup(*m_domainGroup) },
        { "jobs",
            { { "workers", fleet.workers }, { "quarantined", fleet.quarantined },
                { "accelerators", fleet.accelerators }, { "free_accelerators", fleet.freeAccelerators },
                { "queued_jobs", fleet.queuedJobs }, { "active_jobs", fleet.activeJobs },
                { "active_tasks", fleet.activeTasks } } },
        { "claims", { { "count", m_domain->claims().records.size() }, { "bytes", m_domain->claims().bytes } } },
    };
    if (m_fleetGroup)
        document["fleet_log"] = describeGroup(*m_fleetGroup);
    return document.dump();
}

} // namespace chervilport
