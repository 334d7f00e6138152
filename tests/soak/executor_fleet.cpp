#include "tests/soak/executor_fleet.h"

#include "chervilport/http/http_client.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_cluster.h"

#include <map>
#include <tuple>
#include <utility>

namespace chervilport::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickInterval = 10ms;
    constexpr auto heartbeatInterval = 500ms;
    constexpr auto heartbeatTimeout = 1s;
    /// Time for which a draining executor continues to run tasks.
    constexpr auto drainTime = 3s;
    /// Time after which an executor that left rejoins under another id.
    constexpr auto rejoinDelay = 1s;
    constexpr int ok = 200;

    /// Identifies one run of a gang: job, occurrence, step and run number.
    using gang_key = std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>;

} // namespace

executor_fleet::executor_fleet(asio::io_context& context, soak_cluster& cluster, invariant_checker& checker,
    http_client& client, std::size_t count, std::uint64_t seed)
    : m_cluster(cluster)
    , m_checker(checker)
    , m_client(client)
    , m_tick(context, tickInterval)
    , m_random(seed)
{
    for (std::size_t i = 0; i < count; ++i) {
        member added;
        added.executor
            = std::make_unique<fake_executor>(context, checker, "x" + std::to_string(i), seed + i + 1, m_bounds);
        added.proxy = cluster.makeExecutorProxy(i, added.executor->port());
        m_members.push_back(std::move(added));
    }
}

void executor_fleet::start()
{
    m_tick.start([this] { tick(); });
}

void executor_fleet::tick()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& each : m_members)
        each.executor->expireOverdueLease();
    updateGangs(now);
    if (now >= m_nextForeignHeartbeat) {
        m_nextForeignHeartbeat = now + heartbeatInterval;
        sendForeignHeartbeat();
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        auto& each = m_members[i];
        leaveOrRejoin(i, now);
        each.executor->tick(now);
        if (each.executor->faults.down == 0 && now >= each.nextHeartbeat) {
            each.nextHeartbeat = now + heartbeatInterval;
            sendHeartbeat(i);
        }
    }
}

void executor_fleet::updateGangs(std::chrono::steady_clock::time_point now)
{
    // Count the running members of each gang.
    std::map<gang_key, std::size_t> runningMembers;
    for (const auto& each : m_members) {
        for (const auto& [task, run] : each.executor->runs())
            ++runningMembers[{ task.job, task.occurrence, task.step, run.run }];
    }
    // Let complete gangs work until all their members end together as done; end the runs of gangs that lost a member or
    // did not complete in time.
    for (const auto& each : m_members) {
        const auto runs = each.executor->runs();
        for (const auto& [task, run] : runs) {
            const auto* const step = m_checker.findStep(task);
            auto* const state = each.executor->findRun(task);
            const bool isComplete = step == nullptr || !step->isGang
                || runningMembers[{ task.job, task.occurrence, task.step, run.run }] >= step->count;
            if (isComplete && !state->workingSince)
                state->workingSince = now;
            else if (isComplete && step != nullptr && step->isGang && now >= *state->workingSince + step->work)
                each.executor->endRun(task, "done");
            else if (!isComplete && state->workingSince)
                each.executor->endRun(task, "broken");
            else if (!isComplete && now > state->startedAt + m_bounds.gangStartTimeout)
                each.executor->endRun(task, "alone");
        }
    }
}

void executor_fleet::sendHeartbeat(std::size_t number)
{
    auto& sender = m_members[number];
    const auto& address
        = sender.heartbeatAddress.empty() ? m_cluster.anyControlAddress(m_random()) : sender.heartbeatAddress;
    http_client_request call;
    call.address = address;
    call.timeout = heartbeatTimeout;
    call.request = { "PUT", "/v1/instances/" + sender.executor->id(), { { "Content-Type", "application/json" } },
        sender.executor
            ->describe(m_cluster.executorAddress(number), m_cluster.failureDomainOf(number), m_cluster.rackOf(number))
            .dump() };
    m_client.send(std::move(call), [this, number](const http_result& result) {
        const auto body = result.delivery == http_delivery::Complete && result.response.status == ok
            ? nlohmann::json::parse(result.response.body, nullptr, false)
            : nlohmann::json();
        m_members[number].heartbeatAddress = body.is_object() ? body.value("heartbeat_url", std::string()) : "";
    });
}

void executor_fleet::sendForeignHeartbeat()
{
    auto body = m_members.front().executor->describe(
        m_cluster.executorAddress(0), m_cluster.failureDomainOf(0), m_cluster.rackOf(0));
    body["service"] = "foreign";
    http_client_request call;
    call.address = m_cluster.anyControlAddress(m_random());
    call.timeout = heartbeatTimeout;
    call.request = { "PUT", std::string("/v1/instances/") + fake_executor::foreignId,
        { { "Content-Type", "application/json" } }, body.dump() };
    m_client.send(std::move(call), [](const http_result&) {});
}

void executor_fleet::sendLeave(std::size_t number)
{
    http_client_request call;
    call.address = m_cluster.anyControlAddress(m_random());
    call.timeout = heartbeatTimeout;
    call.request = { "DELETE", "/v1/instances/" + m_members[number].executor->id(), {}, {} };
    m_client.send(std::move(call), [](const http_result&) {});
}

void executor_fleet::drain(std::size_t number)
{
    auto& leaving = *m_members[number].executor;
    if (leaving.isDraining || leaving.faults.down > 0)
        return;
    leaving.isDraining = true;
    leaving.leavesAt = std::chrono::steady_clock::now() + drainTime;
}

void executor_fleet::leaveOrRejoin(std::size_t number, std::chrono::steady_clock::time_point now)
{
    auto& each = m_members[number];
    if (each.hasLeft && now >= each.rejoinsAt) {
        each.hasLeft = false;
        --each.executor->faults.down;
        each.executor->beginIncarnation(false);
    }
    if (each.executor->isDraining && !each.hasLeft && now >= each.executor->leavesAt) {
        sendLeave(number);
        each.executor->isDraining = false;
        each.executor->crash();
        each.hasLeft = true;
        each.rejoinsAt = now + rejoinDelay;
        ++each.executor->faults.down;
    }
}

} // namespace chervilport::soak
