#include "chervilport/instance/worker_controller.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/domain_controller.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/instance/worker_commands.h"
#include "chervilport/logging/log.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "workers";
    // Interval at which unconfirmed commands are resent and leases are checked.
    constexpr std::chrono::milliseconds tickInterval { 500 };
    constexpr std::int64_t thousandths = 1'000;

    // Returns the scheduling event for the announced state of a task.
    event reportEvent(const std::string& worker, const announced_task& announced)
    {
        switch (announced.state) {
        case announced_task_state::Running:
            return task_started { worker, announced.task };
        case announced_task_state::Succeeded:
            return task_ended { worker, announced.task, true };
        case announced_task_state::Failed:
            return task_ended { worker, announced.task, false };
        case announced_task_state::Stopped:
            return task_stopped { worker, announced.task, false };
        case announced_task_state::Checkpointed:
            return task_stopped { worker, announced.task, true };
        }
        return timer_fired {};
    }

    worker_joined joinEvent(const worker_announcement& announcement)
    {
        worker_joined joined;
        joined.worker = announcement.address;
        joined.incarnation = announcement.incarnation;
        joined.rack = announcement.rack;
        joined.rackPosition = announcement.rackPosition;
        joined.capacity = announcement.capacity;
        for (const auto& announced : announcement.tasks) {
            if (announced.state == announced_task_state::Running)
                joined.tasks.push_back(announced.task);
        }
        return joined;
    }

    // Combines the results of several proposals and calls back once.
    struct joint_result {
        std::size_t remaining = 1;
        bool committed = true;
        std::function<void(bool)> done;

        void complete(bool ok)
        {
            committed &= ok;
            if (--remaining == 0)
                done(committed);
        }
    };

} // namespace

struct worker_controller::timer {
    explicit timer(asio::io_context& context)
        : tick(context)
    {
    }
    asio::steady_timer tick;
};

worker_controller::worker_controller(asio::io_context& context, worker_controller_config config,
    std::shared_ptr<domain_controller> domain, std::shared_ptr<replica_group> group)
    : m_config(std::move(config))
    , m_timer(std::make_unique<timer>(context))
    , m_domain(std::move(domain))
    , m_group(std::move(group))
{
}

worker_controller::~worker_controller() = default;

void worker_controller::start() { scheduleTick(); }

void worker_controller::stop()
{
    m_stopped = true;
    m_timer->tick.cancel();
}

void worker_controller::announce(const worker_announcement& announcement, reply_callback reply)
{
    // Refuse a worker of another failure domain and an outdated incarnation.
    if (announcement.failureDomain != m_config.failureDomain) {
        reply(makeErrorResponse(error_kind::InvalidRequest,
            "the worker belongs to failure domain " + announcement.failureDomain + ", this instance to "
                + m_config.failureDomain));
        return;
    }
    const auto known = findWorker(m_domain->schedule(), announcement.address);
    if (known && known->incarnation > announcement.incarnation) {
        reply(makeErrorResponse(error_kind::VersionConflict,
            "worker " + announcement.address + " already announced the newer incarnation "
                + std::to_string(known->incarnation)));
        return;
    }

    if (announcement.unchangedSince) {
        renewLease(announcement, reply);
        return;
    }

    // A new, restarted or lost worker joins first; its reports are submitted after that.
    const auto finish = [weak = weak_from_this(), announcement, reply = std::move(reply)](bool committed) {
        const auto self = weak.lock();
        if (self && committed)
            self->grantLease(announcement, reply);
        else
            reply(makeErrorResponse(error_kind::Unavailable, "the announcement was not committed"));
    };
    if (known && known->incarnation == announcement.incarnation) {
        submitReports(announcement, finish);
        return;
    }
    m_leases.erase(announcement.address);
    m_domain->submit(joinEvent(announcement),
        [weak = weak_from_this(), announcement, finish](proposal_result result, std::span<const command>) {
            const auto self = weak.lock();
            if (!self || result != proposal_result::Committed) {
                finish(false);
                return;
            }
            logInfo(part, "worker " + announcement.address + " joined");
            self->submitReports(announcement, finish);
        });
}

void worker_controller::submitReports(const worker_announcement& announcement, const std::function<void(bool)>& done)
{
    auto& lease = m_leases[announcement.address];
    lease.incarnation = announcement.incarnation;
    if (lease.grantedAt == log_time {})
        lease.grantedAt = monotonicNow();

    // Propose only reports that differ from the last committed ones.
    const auto joint = std::make_shared<joint_result>();
    joint->done = done;
    const auto submit = [&](const event& submitted, std::function<void()> onCommit) {
        ++joint->remaining;
        m_domain->submit(
            submitted, [joint, onCommit = std::move(onCommit)](proposal_result result, std::span<const command>) {
                const bool committed = result == proposal_result::Committed;
                if (committed && onCommit)
                    onCommit();
                joint->complete(committed);
            });
    };
    for (const auto& announced : announcement.tasks) {
        const auto state = static_cast<std::uint8_t>(announced.state);
        const auto previous = lease.committedReports.find(announced.task);
        if (previous != lease.committedReports.end() && previous->second == state)
            continue;
        submit(reportEvent(announcement.address, announced),
            [weak = weak_from_this(), worker = announcement.address, task = announced.task, state] {
                if (const auto self = weak.lock())
                    self->m_leases[worker].committedReports[task] = state;
            });
    }
    if (announcement.leaving)
        submit(worker_leaving { announcement.address }, {});
    joint->complete(true);
}

void worker_controller::renewLease(const worker_announcement& announcement, const reply_callback& reply)
{
    // Without the announcement that the worker refers to, the leader requests a full one.
    const auto known = findWorker(m_domain->schedule(), announcement.address);
    const auto lease = m_leases.find(announcement.address);
    const bool hasReferencedAnnouncement = known && known->incarnation == announcement.incarnation
        && lease != m_leases.end() && lease->second.incarnation == announcement.incarnation
        && lease->second.sequence == *announcement.unchangedSince && !lease->second.lossProposed;
    if (!hasReferencedAnnouncement) {
        reply({ 200, { { "Content-Type", "application/json" } }, R"({"send_full":true})" });
        return;
    }
    if (!m_leading || !m_group->mayServe()) {
        reply(makeErrorResponse(error_kind::NotLeader, "this instance no longer leads the domain"));
        return;
    }
    lease->second.grantedAt = monotonicNow();
    reply(leaseResponse(nlohmann::json::array()));
}

http_response worker_controller::leaseResponse(const nlohmann::json& acknowledged) const
{
    nlohmann::json body {
        { "lease_ms", m_config.lease.count() },
        { "renew_ms", m_config.renewal.count() },
        { "epoch", m_group->status().term },
    };
    if (!acknowledged.empty())
        body["acknowledged"] = acknowledged;
    return { 200, { { "Content-Type", "application/json" } }, body.dump() };
}

void worker_controller::grantLease(const worker_announcement& announcement, const reply_callback& reply)
{
    if (!m_leading || !m_group->mayServe()) {
        reply(makeErrorResponse(error_kind::NotLeader, "this instance no longer leads the domain"));
        return;
    }
    auto& lease = m_leases[announcement.address];
    lease.grantedAt = monotonicNow();
    lease.sequence = std::max(lease.sequence, announcement.sequence);

    // Acknowledge ended tasks, so that the worker removes them. The lease keeps only the tasks of this announcement.
    nlohmann::json acknowledged = nlohmann::json::array();
    std::map<task_id, std::uint8_t, task_id_order> reportedStates;
    for (const auto& announced : announcement.tasks) {
        reportedStates[announced.task] = static_cast<std::uint8_t>(announced.state);
        if (announced.state != announced_task_state::Running)
            acknowledged.push_back(taskToJson(announced.task));
    }
    lease.committedReports = std::move(reportedStates);
    reply(leaseResponse(acknowledged));
}

void worker_controller::dispatch(std::span<const command> commands)
{
    if (!m_leading || !m_group->mayExecute())
        return;
    const batch_position position { m_group->status().term, ++m_lastBatch };
    for (const auto& [worker, body] : batchWorkerCommands(commands, m_domain->schedule(), position)) {
        http_request request { "POST", "/tasks", { { "Content-Type", "application/json" } }, body };
        m_config.send(worker, std::move(request));
    }
}

void worker_controller::leadershipChanged(bool leading)
{
    m_leading = leading;
    m_leadingSince = monotonicNow();
    m_leases.clear();
}

void worker_controller::scheduleTick()
{
    m_timer->tick.expires_after(tickInterval);
    m_timer->tick.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || self->m_stopped)
            return;
        self->tick();
        self->scheduleTick();
    });
}

void worker_controller::tick()
{
    if (!m_leading || !m_group->mayServe())
        return;
    dispatch(outstandingCommands(m_domain->schedule()));
    proposeLossOfExpiredWorkers(monotonicNow());
}

void worker_controller::proposeLossOfExpiredWorkers(log_time now)
{
    // The worker starts its lease before it sends the announcement, so it always stops its tasks earlier.
    const auto leaseDuration = log_duration(m_config.lease) * (thousandths + m_config.clockRateMargin) / thousandths;
    for (const auto& known : listWorkers(m_domain->schedule())) {
        const auto found = m_leases.find(known.worker);
        const auto grantedAt
            = found == m_leases.end() ? m_leadingSince : std::max(found->second.grantedAt, m_leadingSince);
        if (now - grantedAt <= leaseDuration)
            continue;
        auto& lease = m_leases[known.worker];
        if (lease.lossProposed)
            continue;
        lease.lossProposed = true;
        lease.grantedAt = grantedAt;
        logWarning(part, "the lease of worker " + known.worker + " expired");
        m_domain->submit(worker_lost { known.worker },
            [weak = weak_from_this(), worker = known.worker](proposal_result result, std::span<const command>) {
                const auto self = weak.lock();
                if (!self)
                    return;
                if (result == proposal_result::Committed)
                    self->m_leases.erase(worker);
                else if (const auto workerLease = self->m_leases.find(worker); workerLease != self->m_leases.end())
                    workerLease->second.lossProposed = false;
            });
    }
}

} // namespace chervilport
