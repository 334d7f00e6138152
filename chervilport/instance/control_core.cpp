#include "chervilport/instance/control_core.h"

#include "chervilport/instance/configuration_controller.h"
#include "chervilport/instance/configuration_json.h"
#include "chervilport/instance/control_api.h"
#include "chervilport/instance/domain_controller.h"
#include "chervilport/instance/group_bootstrap.h"
#include "chervilport/instance/job_controller.h"
#include "chervilport/instance/peer_network.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/instance/worker_controller.h"

#include <asio/io_context.hpp>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::int32_t clockRateMargin = 10;

} // namespace

control_core::control_core(
    asio::io_context& context, const settings& values, metric_registry& metrics, control_plane_hooks hooks)
    : m_context(context)
    , m_settings(values)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_storage(values.dataFolder)
{
}

control_core::~control_core() = default;

void control_core::start()
{
    buildDomain();
    buildFleet();
    buildControllers();
    buildPeers();
    if (m_peers)
        m_peers->start();
    if (m_fleetGroup)
        m_fleetGroup->start();
    m_domainGroup->start();
    m_workers->start();
}

void control_core::stopTimers()
{
    m_workers->stop();
    m_domain->stop();
    m_domainGroup->stop();
    if (m_fleetGroup)
        m_fleetGroup->stop();
}

void control_core::stopPeers()
{
    if (m_peers)
        m_peers->stop();
}

bool control_core::beginLeadershipTransfer()
{
    // A single voter has no member to transfer leadership to.
    const bool domainTransfers = m_domainGroup->transferLeadership();
    const bool fleetTransfers = m_fleetGroup && m_fleetGroup->transferLeadership();
    return domainTransfers || fleetTransfers;
}

bool control_core::leadsNoGroup() const
{
    const auto leads = [](const std::shared_ptr<replica_group>& group) {
        return group && group->status().role == replica_role::Leader;
    };
    return !leads(m_domainGroup) && !leads(m_fleetGroup);
}

void control_core::handle(const std::shared_ptr<control_call>& call) { m_api->handle(call); }

void control_core::buildDomain()
{
    const auto weak = weak_from_this();
    domain_hooks hooks;
    hooks.dispatch = [weak](std::span<const command> commands) {
        if (const auto self = weak.lock())
            self->m_workers->dispatch(commands);
    };
    hooks.observe = [weak](std::span<const command> commands) {
        if (const auto self = weak.lock())
            self->observe(commands);
    };
    m_domain = std::make_shared<domain_controller>(m_context, std::move(hooks));

    replica_group_hooks group;
    group.apply = [owner = m_domain](std::string_view payload) { owner->apply(payload); };
    group.takeSnapshot = [owner = m_domain] { return owner->takeSnapshot(); };
    group.loadSnapshot = [owner = m_domain](std::string_view data) { owner->loadSnapshot(data); };
    group.send = [weak](std::vector<message> messages) {
        if (const auto self = weak.lock(); self && self->m_peers)
            self->m_peers->send(replication_scope::Domain, std::move(messages));
    };
    group.statusChanged = [weak](const replica_status& status) {
        if (const auto self = weak.lock())
            self->domainStatusChanged(status);
    };
    m_domainGroup = std::make_shared<replica_group>(m_context, "domain log",
        makeGroupConfig(m_settings, group_scope::Domain, m_storage),
        m_storage.openGroup(groupName(group_scope::Domain)), std::move(group));
    m_domain->attach(m_domainGroup);
}

void control_core::buildFleet()
{
    const auto weak = weak_from_this();
    configuration_hooks hooks;
    hooks.productionChanged = [weak](const production_copy& copy) {
        if (const auto self = weak.lock())
            self->productionChanged(copy);
    };
    hooks.collectCapacity = [weak](const std::function<void(std::vector<domain_capacity>)>& done) {
        if (const auto self = weak.lock())
            self->collectCapacity(done);
    };
    m_configuration = std::make_shared<configuration_controller>(std::move(hooks));
    if (!isFleetMember())
        return;

    replica_group_hooks group;
    group.apply = [owner = m_configuration](std::string_view payload) { owner->apply(payload); };
    group.takeSnapshot = [owner = m_configuration] { return owner->takeSnapshot(); };
    group.loadSnapshot = [owner = m_configuration](std::string_view data) { owner->loadSnapshot(data); };
    group.send = [weak](std::vector<message> messages) {
        if (const auto self = weak.lock(); self && self->m_peers)
            self->m_peers->send(replication_scope::Fleet, std::move(messages));
    };
    group.statusChanged = [owner = m_configuration](const replica_status& status) { owner->statusChanged(status); };
    m_fleetGroup = std::make_shared<replica_group>(m_context, "fleet log",
        makeGroupConfig(m_settings, group_scope::Fleet, m_storage), m_storage.openGroup(groupName(group_scope::Fleet)),
        std::move(group));
    m_configuration->attach(m_fleetGroup);
}

void control_core::buildControllers()
{
    const auto weak = weak_from_this();
    worker_controller_config workerConfig { m_settings.failureDomain, m_settings.lease, m_settings.leaseRenewal,
        clockRateMargin, m_hooks.sendToWorker };
    m_workers = std::make_shared<worker_controller>(m_context, std::move(workerConfig), m_domain, m_domainGroup);
    m_jobs = std::make_shared<job_controller>(m_settings.failureDomain, m_domain);

    control_api_hooks hooks;
    hooks.forward = [weak](std::uint64_t instance, const control_call& call, auto done) {
        if (const auto self = weak.lock())
            self->forward(instance, call, done);
    };
    hooks.instancesOf = [weak](std::string_view failureDomain) {
        const auto self = weak.lock();
        return self ? self->instancesOf(failureDomain) : std::vector<std::uint64_t> {};
    };
    hooks.describeStatus = [weak] {
        const auto self = weak.lock();
        return self ? self->describeStatus() : std::string("{}");
    };
    hooks.describeCapacity = [weak] {
        const auto self = weak.lock();
        return self ? encodeCapacity(self->ownCapacity()) : std::string();
    };
    hooks.applyClaim = [weak](const std::string& step, std::function<void(http_response)> reply) {
        if (const auto self = weak.lock())
            self->applyClaim(step, std::move(reply));
    };
    control_api_parts parts { m_settings.failureDomain, m_domainGroup, m_fleetGroup, fleetInstances(), m_jobs,
        m_workers, m_configuration };
    m_api = std::make_shared<control_api>(m_context, std::move(parts), std::move(hooks));
}

void control_core::buildPeers()
{
    if (m_settings.instances.size() < 2)
        return;
    const auto weak = weak_from_this();
    peer_network_hooks hooks;
    hooks.receive = [weak](replication_scope scope, const message& received) {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto& group = scope == replication_scope::Domain ? self->m_domainGroup : self->m_fleetGroup;
        if (group)
            group->receive(received);
    };
    hooks.receiveNotice = [weak](std::uint64_t instance, const std::string& notice) {
        if (const auto self = weak.lock())
            self->m_hooks.receiveNotice(instance, notice);
    };
    hooks.observeConfiguration = [weak](std::uint64_t instance, std::uint64_t version) {
        if (const auto self = weak.lock())
            self->observeConfiguration(instance, version);
    };
    hooks.serve = [weak](const std::shared_ptr<control_call>& call) {
        if (const auto self = weak.lock())
            self->m_api->handle(call);
    };
    m_peers = std::make_shared<peer_network>(m_context, m_settings, m_storage.incarnation(), std::move(hooks));
}

std::vector<std::uint64_t> control_core::instancesOf(std::string_view failureDomain) const
{
    std::vector<std::uint64_t> found;
    for (const auto& listed : m_settings.instances) {
        if (listed.failureDomain == failureDomain && listed.id != m_settings.instanceId)
            found.push_back(listed.id);
    }
    return found;
}

std::vector<std::uint64_t> control_core::fleetInstances() const
{
    std::vector<std::uint64_t> found;
    for (const auto& listed : m_settings.instances) {
        if (listed.isFleetVoter && listed.id != m_settings.instanceId)
            found.push_back(listed.id);
    }
    return found;
}

bool control_core::isFleetMember() const
{
    if (m_settings.instances.size() < 2)
        return true;
    for (const auto& listed : m_settings.instances) {
        if (listed.id == m_settings.instanceId)
            return listed.isFleetVoter;
    }
    return false;
}

} // namespace chervilport
