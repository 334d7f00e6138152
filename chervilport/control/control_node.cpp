#include "chervilport/control/control_node.h"

#include "chervilport/batch/worker_admission.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/control/descriptor_budget.h"
#include "chervilport/control/node_address.h"
#include "chervilport/control/report_target.h"
#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/instance_storage.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/peer_network.h"
#include "chervilport/logging/event_log.h"
#include "chervilport/metrics/metric_registry.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <random>
#include <utility>

namespace chervilport {

namespace {

    constexpr const char* groupName = "control";
    constexpr const char* clusterName = "site";
    constexpr std::chrono::milliseconds heartbeat { 150 };
    constexpr std::chrono::milliseconds electionTimeout { 700 };
    constexpr std::chrono::milliseconds tickInterval { 100 };
    /// Minimum time between two join requests.
    constexpr std::chrono::milliseconds joinInterval { 300 };
    /// Time without a leader after which a member asks to join again, because it may have been removed.
    constexpr std::chrono::milliseconds leaderlessTimeout { 1'500 };
    /// Minimum time between two attempts to reload the state after a storage failure.
    constexpr std::chrono::milliseconds restoreRetryInterval { 500 };
    /// Time limit for the transfer of leadership in a graceful shutdown.
    constexpr std::chrono::milliseconds transferTimeout { 1'500 };
    constexpr std::chrono::milliseconds transferPollInterval { 50 };

    std::uint64_t numberOf(member_id id) { return static_cast<std::uint64_t>(id); }

    /// Returns the settings of the connections to other instances.
    settings linkSettings(const node_settings& values)
    {
        settings link;
        link.instanceId = numberOf(memberAt(values.ip, values.peerPort));
        link.clusterId = clusterName;
        link.peerListen = values.bindIp + ':' + std::to_string(values.peerPort);
        return link;
    }

    /// Returns the bounds of these connections, which follow the descriptors of the process.
    transport_limits linkLimits(const node_settings& values)
    {
        const auto budget = divideDescriptors(values.maxDescriptors);
        transport_limits limits;
        limits.maxAcceptedConnections = budget.instances;
        limits.maxUnidentifiedConnections = budget.unidentified;
        return limits;
    }

    std::int64_t inMs(log_duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

    bool bootstrapsGroup(const node_settings& values, const instance_storage& storage)
    {
        if (!values.mayBootstrap || storage.hasGroup(groupName) || values.seeds.empty())
            return false;
        const auto& first = *std::min_element(values.seeds.begin(), values.seeds.end(),
            [](const peer_address& left, const peer_address& right) { return left.id < right.id; });
        return first.ip == values.ip;
    }

    replica_config groupConfig(const node_settings& values, const instance_storage& storage)
    {
        replica_config config;
        config.self = { memberAt(values.ip, values.peerPort), storage.incarnation(), storage.hasDisk() };
        config.heartbeatInterval = heartbeat;
        config.electionTimeout = electionTimeout;
        config.seed = std::random_device {}();
        if (bootstrapsGroup(values, storage))
            config.initialMembership.voters.push_back(config.self);
        return config;
    }

} // namespace

struct control_node::timer {
    explicit timer(asio::io_context& context)
        : transfer(context)
    {
    }
    asio::steady_timer transfer;
};

control_node::control_node(asio::io_context& context, const node_settings& values, worker_client client,
    serve_function serve, std::shared_ptr<metric_registry> metrics)
    : m_context(context)
    , m_settings(values)
    , m_serve(std::move(serve))
    , m_tick(context, tickInterval)
    , m_timer(std::make_unique<timer>(context))
    , m_storage(std::make_unique<instance_storage>(values.dataFolder))
{
    const auto config = groupConfig(values, *m_storage);
    logEvent("control_instance",
        { { "member", numberOf(config.self.id) }, { "incarnation", config.self.incarnation },
            { "founds", config.initialMembership.voters.empty() ? "false" : "true" },
            { "has_log", m_storage->hasGroup(groupName) ? "true" : "false" } });

    peer_network_hooks hooks;
    hooks.receive = [this](replication_scope, const message& received) { m_group->receive(received); };
    hooks.receiveNotice = [](std::uint64_t, const std::string&) {};
    hooks.observeConfiguration = [](std::uint64_t, std::uint64_t) {};
    hooks.serve = [this](const std::shared_ptr<control_call>& call) { serveFromPeer(call); };
    hooks.connectionChanged = [this](std::uint64_t instance, bool connected) {
        if (connected)
            m_watch.disconnectedSince.erase(member_id { instance });
        else
            m_watch.disconnectedSince.emplace(member_id { instance }, monotonicNow());
    };
    // A new instance of the group has to connect before the members know it.
    hooks.hasReservedPlace = [](std::uint64_t instance) { return !isStateless(member_id { instance }); };
    m_network = std::make_shared<peer_network>(
        context, linkSettings(values), m_storage->incarnation(), std::move(hooks), linkLimits(values));

    batch_controller::group_link link;
    link.propose = [this](std::string payload, command_queue::callback done) {
        m_group->propose(std::move(payload), std::move(done));
    };
    link.mayExecute = [this] { return m_group->mayExecute(); };
    m_polls = std::make_shared<poll_limit>(std::move(client), maxPendingPolls);
    m_jobs = std::make_shared<batch_controller>(
        context, values.workers, m_polls->client(), std::move(link), std::move(metrics));

    m_group = makeGroup();
    m_relay = std::make_shared<leader_relay>(context, *m_network, config.self.id);
    m_relay->membersChanged = [this](const std::vector<member_id>&) { updatePeers(); };
}

control_node::~control_node() = default;

std::shared_ptr<replica_group> control_node::makeGroup()
{
    replica_group_hooks hooks;
    hooks.apply = [this](std::string_view payload) { m_jobs->apply(payload); };
    hooks.takeSnapshot = [this] { return m_jobs->takeSnapshot(); };
    hooks.loadSnapshot = [this](std::string_view data) { m_jobs->loadSnapshot(data); };
    hooks.send
        = [this](std::vector<message> messages) { m_network->send(replication_scope::Fleet, std::move(messages)); };
    hooks.statusChanged = [this](const replica_status& status) { handleStatus(status); };
    return std::make_shared<replica_group>(
        m_context, groupName, groupConfig(m_settings, *m_storage), m_storage->openGroup(groupName), std::move(hooks));
}

void control_node::restoreAfterFailure(log_time now)
{
    if (!m_group->hasFailed() || now < m_nextRestore)
        return;
    m_nextRestore = now + restoreRetryInterval;
    // The failed write leaves the disk in an unknown state, so the member restarts from what can be read.
    m_group->stop();
    m_jobs->reset();
    m_polls->discardWaiting();
    m_group = makeGroup();
    try {
        m_group->start();
        logEvent("storage_restored", { { "applied", m_group->appliedIndex() } });
    } catch (const chervilport_error& error) {
        logEvent("storage_unusable", { { "reason", error.what() } }, log_level::Warning);
        m_group->abandon(error.what());
    }
}

void control_node::start()
{
    m_network->start();
    setSeeds(m_settings.seeds);
    m_group->start();
    updatePeers();
    m_jobs->start();
    m_relay->start();
    m_tick.start([this] { tick(); });
}

void control_node::setSeeds(const std::vector<peer_address>& seeds)
{
    m_settings.seeds = seeds;
    m_relay->setSeeds(idsOf(seeds));
    updatePeers();
}

void control_node::prepareStop(std::function<void()> done)
{
    if (!mayServe() || !m_group->transferLeadership()) {
        done();
        return;
    }
    logEvent("leadership_transfer", { { "term", m_group->status().term } });
    const auto deadline = monotonicNow() + transferTimeout;
    const auto poll = std::make_shared<std::function<void()>>();
    *poll = [self = shared_from_this(), deadline, done = std::move(done), poll] {
        if (self->m_group->status().role != replica_role::Leader || monotonicNow() >= deadline) {
            done();
            *poll = nullptr;
            return;
        }
        self->m_timer->transfer.expires_after(transferPollInterval);
        self->m_timer->transfer.async_wait([poll](const std::error_code& error) {
            if (!error)
                (*poll)();
        });
    };
    asio::post(m_context, [poll] { (*poll)(); });
}

void control_node::stop()
{
    m_stopped = true;
    m_tick.stop();
    m_relay->stop();
    m_jobs->stop();
    m_polls->discardWaiting();
    removeExpiredReports(m_reports, log_time::max());
    m_group->stop();
    m_network->stop();
}

bool control_node::mayServe() const { return m_group->mayServe(); }

std::optional<std::string> control_node::leaderIp() const
{
    const auto status = m_group->status();
    if (!status.leader || *status.leader == m_group->self().id)
        return std::nullopt;
    return addressOf(*status.leader).ip;
}

std::vector<member_id> control_node::reachableVoters() const
{
    std::vector<member_id> reachable;
    for (const auto& voter : m_group->status().members.voters) {
        if (!m_watch.disconnectedSince.contains(voter.id))
            reachable.push_back(voter.id);
    }
    return reachable;
}

std::optional<std::string> control_node::reportIp(std::string_view worker) const
{
    if (m_jobs->state().workers.size() <= maxWorkersAtLeader)
        return leaderIp();
    const auto chosen = reportMemberOf(worker, reachableVoters());
    if (!chosen || *chosen == m_group->self().id)
        return std::nullopt;
    return addressOf(*chosen).ip;
}

void control_node::recordGauges()
{
    auto& metrics = m_jobs->metrics();
    const auto status = m_group->status();
    metrics.set("chervilport_members", { { "part", "voter" } }, static_cast<double>(status.members.voters.size()));
    metrics.set("chervilport_members", { { "part", "learner" } }, static_cast<double>(status.members.learners.size()));
    metrics.set("chervilport_commit_index", {}, static_cast<double>(status.commitIndex));
    metrics.set("chervilport_applied_index", {}, static_cast<double>(m_group->appliedIndex()));
    const auto connections = m_network->counters();
    metrics.set(
        "chervilport_instance_connections", { { "place", "reserved" } }, static_cast<double>(connections.openReserved));
    metrics.set(
        "chervilport_instance_connections", { { "place", "shared" } }, static_cast<double>(connections.openShared));
    metrics.set("chervilport_instance_connections_refused", {}, static_cast<double>(connections.refusals));
    metrics.set("chervilport_instance_calls_late", {}, static_cast<double>(connections.lateForwards));
    metrics.set(
        "chervilport_reports", { { "state", "in_progress" } }, static_cast<double>(m_reports.inProgress.size()));
    metrics.set("chervilport_reports", { { "state", "waiting" } }, static_cast<double>(m_reports.waiting.size()));
    metrics.set("chervilport_reports_refused", {}, static_cast<double>(m_reports.refused));
    metrics.set("chervilport_polls_waiting", {}, static_cast<double>(m_polls->waiting()));
    metrics.set("chervilport_leader_absence_seconds", {},
        std::chrono::duration<double>(monotonicNow() - m_elections.leaderSeenAt).count());
    metrics.set("chervilport_loop_lag_seconds", {}, std::chrono::duration<double>(takeLongestLag(m_elections)).count());
    metrics.set("chervilport_storage_failed", {}, m_group->hasFailed() ? 1 : 0);
    m_jobs->recordGauges();
}

void control_node::dispatch(std::shared_ptr<control_call> call, std::string name)
{
    if (mayServe()) {
        m_serve(std::move(call));
        return;
    }
    const auto reply = call->reply;
    m_relay->relay(call->request, std::move(name), call->deadline, [reply](const relay_outcome& outcome) {
        reply(outcome.response ? *outcome.response : makeOutcomeUnknownResponse());
    });
}

void control_node::dispatchReport(const batch::worker_report& report, const std::shared_ptr<control_call>& call,
    std::string name, const std::function<http_response()>& known)
{
    if (!batch::changesWorker(m_jobs->state(), report)) {
        call->reply(known());
        return;
    }
    const auto begin = [this, call, name = std::move(name)](std::uint64_t number) {
        auto counted = std::make_shared<control_call>(*call);
        counted->reply = [this, call, number](http_response response) {
            call->reply(std::move(response));
            endReport(m_reports, number);
            // Not at once, because a call that is refused ends within `dispatch`.
            asio::post(m_context, [this] { takeUpReports(); });
        };
        dispatch(std::move(counted), name);
    };
    addReport(m_reports, { call->deadline, begin, [call] {
                              call->reply(
                                  makeErrorResponse(error_kind::Unavailable, "no leader took up the report in time"));
                          } });
    takeUpReports();
}

void control_node::takeUpReports()
{
    // Without a leader, reports wait until their deadline, so that the workers do not come back at once.
    if (!m_stopped && (mayServe() || m_relay->hasLeader(monotonicNow())))
        startReports(m_reports);
}

void control_node::serveFromPeer(const std::shared_ptr<control_call>& call)
{
    if (m_stopped || serveClusterCall(call))
        return;
    if (!mayServe()) {
        call->reply(makeNotLeaderResponse(m_group->status().leader));
        return;
    }
    m_serve(call);
}

bool control_node::serveClusterCall(const std::shared_ptr<control_call>& call)
{
    if (isStatusRequest(call->request)) {
        call->reply(makeStatusResponse(describe()));
        return true;
    }
    if (const auto joining = readJoinRequest(call->request)) {
        call->reply(admit(*joining));
        return true;
    }
    return false;
}

cluster_status control_node::describe() const
{
    const auto status = m_group->status();
    cluster_status described;
    described.leader = status.leader;
    described.term = status.term;
    described.serves = mayServe();
    described.searchPause = m_searchPause;
    for (const auto& each : status.members.voters)
        described.members.push_back(each.id);
    for (const auto& each : status.members.learners)
        described.members.push_back(each.id);
    return described;
}

http_response control_node::admit(const member& joining)
{
    if (!mayServe())
        return makeNotLeaderResponse(m_group->status().leader);
    if (isListed(m_group->status().members, joining))
        return makeStatusResponse(describe());
    const bool known = findMember(m_group->status().members, joining.id) != nullptr;
    const bool appended = m_group->changeMember(joining, true);
    logEvent("member_joins",
        { { "member", numberOf(joining.id) }, { "incarnation", joining.incarnation },
            { "known", known ? "true" : "false" }, { "appended", appended ? "true" : "false" } });
    updatePeers();
    return makeStatusResponse(describe());
}

void control_node::handleStatus(const replica_status& status)
{
    logEvent("replica_status",
        { { "role", static_cast<int>(status.role) }, { "term", status.term },
            { "leader", status.leader ? numberOf(*status.leader) : 0 }, { "ready", status.ready ? "true" : "false" },
            { "voters", status.members.voters.size() }, { "learners", status.members.learners.size() },
            { "commit", status.commitIndex } });
    recordMembership(m_watch, status.members, monotonicNow());
    m_jobs->handleStatus(status);
    if (status.role != replica_role::Leader)
        m_polls->discardWaiting();
    updatePeers();
}

void control_node::updatePeers()
{
    // Collect the members, the seeds and the members that other instances report, without this instance.
    std::vector<member_id> ids = m_relay->candidates();
    for (const auto id : describe().members)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    std::erase(ids, m_group->self().id);
    auto peers = addressesOf(ids);
    if (peers == m_peers)
        return;
    // A new peer counts as disconnected until it connects; a peer that stays keeps its connection state.
    const auto now = monotonicNow();
    for (const auto& peer : peers) {
        if (std::find(m_peers.begin(), m_peers.end(), peer) == m_peers.end())
            m_watch.disconnectedSince.emplace(peer.id, now);
    }
    std::erase_if(m_watch.disconnectedSince,
        [&](const auto& entry) { return !std::binary_search(ids.begin(), ids.end(), entry.first); });
    m_peers = peers;
    m_network->setPeers(std::move(peers));
}

void control_node::tick()
{
    const auto now = monotonicNow();
    m_searchPause = searchPauseFor(m_network->counters().openShared);
    recordTick(m_elections, now, tickInterval, m_group->status().leader.has_value());
    logAbsence(now);
    restoreAfterFailure(now);
    joinIfNeeded(now);
    removeExpiredReports(m_reports, now);
    takeUpReports();
    if (mayServe())
        removeDisconnected(now);
}

void control_node::logAbsence(log_time now)
{
    if (!takeAbsenceReport(m_elections, now))
        return;
    const auto status = m_group->status();
    const auto connections = m_network->counters();
    logEvent("no_leader",
        { { "absence_ms", inMs(now - m_elections.leaderSeenAt) }, { "role", static_cast<int>(status.role) },
            { "term", status.term }, { "voters", status.members.voters.size() },
            { "voters_reachable", reachableVoters().size() }, { "loop_lag_ms", inMs(m_elections.longestLag) },
            { "instances", connections.openShared }, { "refused", connections.refusals },
            { "reports_waiting", m_reports.waiting.size() } },
        log_level::Warning);
}

void control_node::joinIfNeeded(log_time now)
{
    const auto status = m_group->status();
    const bool listed = isListed(status.members, m_group->self());
    if (listed && now - m_elections.leaderSeenAt < leaderlessTimeout)
        return;
    if (now - m_lastJoin < joinInterval)
        return;
    m_lastJoin = now;
    control_call call;
    call.request = makeJoinRequest(m_group->self());
    call.deadline = now + joinInterval * 2;
    for (const auto id : m_relay->candidates())
        m_network->forward(numberOf(id), call, [](const forward_outcome&) {});
}

void control_node::removeDisconnected(log_time now)
{
    const auto requiredVoters = static_cast<std::size_t>(2 * m_settings.faultTolerance + 1);
    const auto lost = chooseRemoval(m_watch, m_group->status().members, m_group->self().id, requiredVoters, now);
    if (!lost || !m_group->removeMember(*lost))
        return;
    const auto lostFor = now - m_watch.disconnectedSince.at(*lost);
    logEvent("member_removed",
        { { "member", numberOf(*lost) },
            { "lost_ms", std::chrono::duration_cast<std::chrono::milliseconds>(lostFor).count() } },
        log_level::Warning);
}

} // namespace chervilport
