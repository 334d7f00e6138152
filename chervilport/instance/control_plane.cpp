#include "chervilport/instance/control_plane.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/control_api.h"
#include "chervilport/instance/domain_controller.h"
#include "chervilport/instance/group_bootstrap.h"
#include "chervilport/instance/instance_storage.h"
#include "chervilport/instance/job_controller.h"
#include "chervilport/instance/job_json.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/peer_network.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/instance/worker_controller.h"
#include "chervilport/logging/log.h"
#include "chervilport/requests/claim_reply_codec.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "control";
    constexpr std::chrono::milliseconds stopPollInterval { 20 };
    constexpr int okStatus = 200;

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

} // namespace

struct control_plane::implementation : std::enable_shared_from_this<control_plane::implementation> {
    implementation(settings given, control_plane_hooks givenHooks)
        : values(std::move(given))
        , hooks(std::move(givenHooks))
        , storage(values.dataFolder)
        , guard(asio::make_work_guard(context))
    {
    }

    void build();
    void buildPeers();
    void observe(std::span<const command>) const;
    void statusChanged(const replica_status&);
    std::string describeStatus() const;
    void forward(std::uint64_t instance, const control_call&, const std::function<void(forward_outcome)>&);
    void applyClaim(std::string_view step, std::function<void(http_response)> reply);
    void submitClaim(const claim_step&, log_duration patience, std::function<void(claim_store_reply)> done);
    std::vector<std::uint64_t> domainPeers() const;
    void notify(std::uint64_t instance, const std::string& notice);
    void pollStop(log_time until, std::function<void()> done);

    settings values;
    control_plane_hooks hooks;
    instance_storage storage;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::shared_ptr<peer_network> peers;
    std::shared_ptr<replica_group> group;
    std::shared_ptr<domain_controller> domain;
    std::shared_ptr<worker_controller> workers;
    std::shared_ptr<job_controller> jobs;
    std::shared_ptr<control_api> api;
    std::atomic<bool> ready { false };
    bool leading = false;
    std::thread thread;
};

control_plane::control_plane(const settings& values, control_plane_hooks hooks)
    : m_implementation(std::make_shared<implementation>(values, std::move(hooks)))
{
}

control_plane::~control_plane() { stop(); }

void control_plane::start()
{
    m_implementation->build();
    m_implementation->buildPeers();
    if (m_implementation->peers)
        m_implementation->peers->start();
    m_implementation->group->start();
    m_implementation->workers->start();
    m_implementation->thread = std::thread([self = m_implementation] { self->context.run(); });
}

void control_plane::prepareStop(std::chrono::milliseconds longest, std::function<void()> done)
{
    asio::post(m_implementation->context, [self = m_implementation, longest, done = std::move(done)]() mutable {
        // A single voter has nobody to hand over to.
        const bool transfers = self->group->transferLeadership();
        self->pollStop(transfers ? monotonicNow() + longest : monotonicNow(), std::move(done));
    });
}

void control_plane::stop()
{
    auto& self = *m_implementation;
    if (!self.thread.joinable())
        return;
    asio::post(self.context, [&self] {
        self.workers->stop();
        self.domain->stop();
        self.group->stop();
        self.guard.reset();
        self.context.stop();
    });
    self.thread.join();
    if (self.peers)
        self.peers->stop();
}

void control_plane::handle(
    http_request request, std::chrono::milliseconds remaining, std::function<void(http_response)> reply)
{
    auto call = std::make_shared<control_call>();
    call->request = std::move(request);
    call->deadline = monotonicNow() + remaining;
    call->reply = std::move(reply);
    asio::post(m_implementation->context, [self = m_implementation, call] { self->api->handle(call); });
}

void control_plane::notifyDomain(std::string notice)
{
    asio::post(m_implementation->context, [self = m_implementation, notice = std::move(notice)] {
        if (self->peers)
            self->peers->notify(self->domainPeers(), notice);
    });
}

void control_plane::notifyLeader(std::string notice)
{
    asio::post(m_implementation->context, [self = m_implementation, notice = std::move(notice)] {
        if (const auto leader = self->group->status().leader)
            self->notify(static_cast<std::uint64_t>(*leader), notice);
    });
}

void control_plane::notifyInstance(std::uint64_t instance, std::string notice)
{
    asio::post(m_implementation->context,
        [self = m_implementation, instance, notice = std::move(notice)] { self->notify(instance, notice); });
}

void control_plane::submitClaim(claim_step step, log_duration patience, std::function<void(claim_store_reply)> done)
{
    asio::post(m_implementation->context,
        [self = m_implementation, step = std::move(step), patience, done = std::move(done)]() mutable {
            self->submitClaim(step, patience, std::move(done));
        });
}

std::uint64_t control_plane::incarnation() const { return m_implementation->storage.incarnation(); }

bool control_plane::isReady() const { return m_implementation->ready; }

void control_plane::implementation::build()
{
    const std::weak_ptr<implementation> weak = weak_from_this();

    // The schedule of this failure domain.
    domain = std::make_shared<domain_controller>(context,
        domain_hooks {
            [weak](std::span<const command> commands) {
                if (const auto self = weak.lock())
                    self->workers->dispatch(commands);
            },
            [weak](std::span<const command> commands) {
                if (const auto self = weak.lock())
                    self->observe(commands);
            },
        });

    // Its replicated log.
    replica_group_hooks groupHooks;
    groupHooks.apply = [owner = domain](std::string_view payload) { owner->apply(payload); };
    groupHooks.takeSnapshot = [owner = domain] { return owner->takeSnapshot(); };
    groupHooks.loadSnapshot = [owner = domain](std::string_view data) { owner->loadSnapshot(data); };
    groupHooks.send = [weak](std::vector<message> messages) {
        if (const auto self = weak.lock(); self && self->peers)
            self->peers->send(replication_scope::Domain, std::move(messages));
    };
    groupHooks.statusChanged = [weak](const replica_status& status) {
        if (const auto self = weak.lock())
            self->statusChanged(status);
    };
    group
        = std::make_shared<replica_group>(context, "domain log", makeGroupConfig(values, group_scope::Domain, storage),
            storage.openGroup(groupName(group_scope::Domain)), std::move(groupHooks));
    domain->attach(group);

    // The controllers that act on it.
    worker_controller_config workerConfig { values.failureDomain, values.lease, values.leaseRenewal, 10,
        hooks.sendToWorker };
    workers = std::make_shared<worker_controller>(context, std::move(workerConfig), domain, group);
    jobs = std::make_shared<job_controller>(values.failureDomain, domain);
    control_api_hooks apiHooks;
    apiHooks.forward = [weak](std::uint64_t instance, const control_call& call, auto done) {
        if (const auto self = weak.lock())
            self->forward(instance, call, done);
    };
    apiHooks.instancesOf = [weak](std::string_view failureDomain) {
        std::vector<std::uint64_t> found;
        if (const auto self = weak.lock()) {
            for (const auto& listed : self->values.instances) {
                if (listed.failureDomain == failureDomain && listed.id != self->values.instanceId)
                    found.push_back(listed.id);
            }
        }
        return found;
    };
    apiHooks.describeStatus = [weak] {
        const auto self = weak.lock();
        return self ? self->describeStatus() : std::string("{}");
    };
    apiHooks.applyClaim = [weak](const std::string& step, std::function<void(http_response)> reply) {
        if (const auto self = weak.lock())
            self->applyClaim(step, std::move(reply));
    };
    api = std::make_shared<control_api>(context, values.failureDomain, group, jobs, workers, std::move(apiHooks));
}

void control_plane::implementation::buildPeers()
{
    if (values.instances.size() < 2)
        return;
    const std::weak_ptr<implementation> weak = weak_from_this();
    peer_network_hooks linkHooks;
    linkHooks.receive = [weak](replication_scope scope, const message& received) {
        if (const auto self = weak.lock(); self && scope == replication_scope::Domain)
            self->group->receive(received);
    };
    linkHooks.receiveNotice = [weak](std::uint64_t instance, const std::string& notice) {
        if (const auto self = weak.lock())
            self->hooks.receiveNotice(instance, notice);
    };
    linkHooks.observeConfiguration = [](std::uint64_t, std::uint64_t) {};
    linkHooks.serve = [weak](const std::shared_ptr<control_call>& call) {
        if (const auto self = weak.lock())
            self->api->handle(call);
    };
    peers = std::make_shared<peer_network>(context, values, storage.incarnation(), std::move(linkHooks));
}

void control_plane::implementation::observe(std::span<const command> commands) const
{
    for (const auto& each : commands) {
        if (const auto* const changed = std::get_if<job_changed>(&each)) {
            logInfo("jobs",
                "job " + values.failureDomain + "-" + std::to_string(static_cast<std::uint64_t>(changed->job))
                    + " attempt " + std::to_string(changed->attempt) + " is now in state "
                    + std::string(toString(changed->state)) + (changed->reason.empty() ? "" : ": " + changed->reason));
        }
    }
}

void control_plane::implementation::statusChanged(const replica_status& status)
{
    ready = status.leader.has_value() && !group->hasFailed();
    const bool leads = status.role == replica_role::Leader && status.ready;
    if (leads != leading)
        workers->leadershipChanged(leads);
    domain->statusChanged(status);
    if (leads != leading) {
        leading = leads;
        hooks.leadershipChanged(leads, status.term);
    }
    // Until the fleet's log delivers a configuration, the built-in one is in force.
    if (leads && configurationVersion(domain->schedule()) == 0) {
        configuration_changed initial;
        initial.version = 1;
        initial.workspaces.push_back({ "default", {}, -1, {} });
        domain->submit(initial);
    }
}

std::string control_plane::implementation::describeStatus() const
{
    const auto replica = group->status();
    const auto fleet = viewFleet(domain->schedule());
    const nlohmann::json document {
        { "instance", values.instanceId },
        { "failure_domain", values.failureDomain },
        { "ready", ready.load() },
        { "domain",
            { { "role", roleName(replica.role) }, { "term", replica.term },
                { "leader", replica.leader ? nlohmann::json(static_cast<std::uint64_t>(*replica.leader)) : nullptr },
                { "commit_index", replica.commitIndex }, { "applied_index", group->appliedIndex() },
                { "storage_failed", group->hasFailed() } } },
        { "fleet",
            { { "workers", fleet.workers }, { "quarantined", fleet.quarantined },
                { "accelerators", fleet.accelerators }, { "free_accelerators", fleet.freeAccelerators },
                { "queued_jobs", fleet.queuedJobs }, { "active_jobs", fleet.activeJobs },
                { "active_tasks", fleet.activeTasks } } },
    };
    return document.dump();
}

void control_plane::implementation::forward(
    std::uint64_t instance, const control_call& call, const std::function<void(forward_outcome)>& done)
{
    if (peers)
        peers->forward(instance, call, done);
    else
        done({ std::nullopt, true, "instance " + std::to_string(instance) + " cannot be reached" });
}

void control_plane::implementation::applyClaim(std::string_view step, std::function<void(http_response)> reply)
{
    domain->submitClaim(
        decodeClaimStep(step), [reply = std::move(reply)](proposal_result result, const claim_reply& answer) {
            if (result == proposal_result::Committed)
                reply({ 200, {}, encodeClaimReply(answer) });
            else if (result == proposal_result::NotCommitted)
                reply(makeErrorResponse(error_kind::NotLeader, "this instance does not lead the domain"));
            else
                reply(
                    makeErrorResponse(error_kind::OutcomeUnknown, "leadership was lost before the step was confirmed"));
        });
}

void control_plane::implementation::submitClaim(
    const claim_step& step, log_duration patience, std::function<void(claim_store_reply)> done)
{
    auto call = std::make_shared<control_call>();
    call->request = { "POST", std::string(control_api::claimPath), {}, encodeClaimStep(step) };
    call->deadline = monotonicNow() + patience;
    call->reply = [done = std::move(done)](const http_response& response) {
        if (response.status == okStatus)
            done({ decodeClaimReply(response.body), error_kind::Unavailable });
        else
            done({ std::nullopt, error_kind::Unavailable });
    };
    api->handle(call);
}

std::vector<std::uint64_t> control_plane::implementation::domainPeers() const
{
    std::vector<std::uint64_t> found;
    for (const auto& listed : values.instances) {
        if (listed.failureDomain == values.failureDomain && listed.id != values.instanceId)
            found.push_back(listed.id);
    }
    return found;
}

void control_plane::implementation::notify(std::uint64_t instance, const std::string& notice)
{
    if (instance == values.instanceId)
        hooks.receiveNotice(instance, notice);
    else if (peers)
        peers->notify(std::span(&instance, 1), notice);
}

void control_plane::implementation::pollStop(log_time until, std::function<void()> done)
{
    if (group->status().role != replica_role::Leader || monotonicNow() >= until) {
        done();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context, stopPollInterval);
    timer->async_wait([self = shared_from_this(), until, done = std::move(done), timer](
                          const std::error_code&) mutable { self->pollStop(until, std::move(done)); });
}

} // namespace chervilport
