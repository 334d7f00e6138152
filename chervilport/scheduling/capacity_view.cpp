#include "chervilport/scheduling/capacity_view.h"

#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace chervilport {

namespace {

    /// Shares of comparable jobs, in thousandths, that must end before a reservation is due for a job to be backfilled.
    /// A job with checkpoints loses little if it is still running then.
    constexpr std::int32_t backfillQuantile = 920;
    constexpr std::int32_t checkpointableBackfillQuantile = 300;

} // namespace

log_duration backfillRunTime(const schedule_state& state, const job_record& job)
{
    const auto quantile = job.spec.checkpointable ? checkpointableBackfillQuantile : backfillQuantile;
    return remainingQuantile(state, job.spec, job.savedRunTime, quantile);
}

bool mayOvertake(const schedule_state& state, const job_record& job, const job_record& owner)
{
    constexpr std::int32_t largeGang = 32;
    const auto isDeadlineClose = [&](const job_record& candidate) {
        return candidate.spec.deadline
            && state.now + remainingRunTime(state, candidate) * 3 / 2 > *candidate.spec.deadline;
    };
    if (job.spec.jobClass != owner.spec.jobClass)
        return job.spec.jobClass < owner.spec.jobClass;
    return owner.spec.taskCount < largeGang && isDeadlineClose(job) && !isDeadlineClose(owner);
}

bool avoids(const schedule_state& state, const job_record& job, const worker_record& worker)
{
    // A job that failed on most of a small fleet may use all of it again.
    if (job.failedOn.empty() || job.failedOn.size() * 2 > state.workerByName.size())
        return false;
    return std::find(job.failedOn.begin(), job.failedOn.end(), worker.name) != job.failedOn.end();
}

std::vector<resources> reservedAgainst(const schedule_state& state, const job_record& job)
{
    std::vector<resources> reserved(state.workers.size());
    if (state.reservations.empty())
        return reserved;
    const auto endsBy = state.now + backfillRunTime(state, job);
    for (const auto& [id, other] : state.reservations) {
        if (id == job.id)
            continue;
        if (job.spec.preemptible && !other.reclaiming && endsBy <= other.expectedAt)
            continue;
        const auto& owner = state.jobs.at(id);
        if (!other.reclaiming && mayOvertake(state, job, owner))
            continue;
        const auto& demand = owner.spec.perTask;
        for (const auto worker : other.workers)
            reserved[worker] = reserved[worker] + demand;
    }
    return reserved;
}

std::vector<resources> freeCapacityFor(const schedule_state& state, const job_record& job)
{
    auto freeCapacity = reservedAgainst(state, job);
    for (std::size_t i = 0; i < freeCapacity.size(); ++i) {
        const auto& worker = state.workers[i];
        const auto usable = isPlaceable(worker) && !avoids(state, job, worker);
        freeCapacity[i] = usable ? worker.capacity - worker.used - freeCapacity[i] : resources {};
    }
    return freeCapacity;
}

slot_table slotsFor(const job_record& job, std::span<const resources> freeCapacity)
{
    slot_table slots;
    slots.free.reserve(freeCapacity.size());
    slots.freeAccelerators.reserve(freeCapacity.size());
    for (const auto& amount : freeCapacity) {
        slots.free.push_back(countFitting(job.spec.perTask, amount, job.spec.taskCount));
        slots.freeAccelerators.push_back(std::max(0, amount.accelerators));
    }
    slots.total = slots.free;
    slots.cost.assign(freeCapacity.size(), 0);
    return slots;
}

std::vector<std::pair<std::int32_t, resources>> demandByWorker(
    const job_record& job, std::span<const std::int32_t> workers)
{
    std::vector<std::int32_t> sorted(workers.begin(), workers.end());
    std::sort(sorted.begin(), sorted.end());
    std::vector<std::pair<std::int32_t, resources>> sums;
    for (const auto worker : sorted) {
        if (sums.empty() || sums.back().first != worker)
            sums.emplace_back(worker, resources {});
        sums.back().second = sums.back().second + job.spec.perTask;
    }
    return sums;
}

bool withinQuotas(const schedule_state& state, const job_record& job)
{
    const auto index = workspaceIndex(state, job.spec.workspace);
    if (index == state.configuration.workspaces.size())
        return false;
    const auto& workspace = state.configuration.workspaces[index];
    const auto demand = gangAccelerators(job.spec);
    if (workspace.maxBorrowedAccelerators >= 0) {
        const auto held = state.heldByWorkspace.find(workspace.name);
        const auto sum = demand + (held == state.heldByWorkspace.end() ? 0 : held->second);
        if (sum > guaranteedAccelerators(workspace) + workspace.maxBorrowedAccelerators)
            return false;
    }
    const auto team = std::find_if(workspace.teams.begin(), workspace.teams.end(),
        [&](const team_quota& quota) { return quota.team == job.spec.team; });
    if (team == workspace.teams.end())
        return true;
    const auto held = state.heldByTeam.find({ workspace.name, job.spec.team });
    return demand + (held == state.heldByTeam.end() ? 0 : held->second) <= team->maxAccelerators;
}

std::set<job_id> guaranteedJobs(const schedule_state& state)
{
    using order_key = std::tuple<std::size_t, bool, job_class, log_time, job_id>;
    std::vector<order_key> order;
    for (const auto& [id, job] : state.jobs)
        if (!job.tasks.empty())
            order.emplace_back(
                workspaceIndex(state, job.spec.workspace), job.spec.preemptible, job.spec.jobClass, job.placedAt, id);
    std::sort(order.begin(), order.end());
    std::vector<std::int32_t> remaining;
    for (const auto& workspace : state.configuration.workspaces)
        remaining.push_back(guaranteedAccelerators(workspace));
    remaining.push_back(0);
    std::set<job_id> guaranteed;
    for (const auto& key : order) {
        const auto id = std::get<job_id>(key);
        const auto size = gangAccelerators(state.jobs.at(id).spec);
        auto& remainingGuarantee = remaining[std::get<0>(key)];
        if (size > remainingGuarantee)
            continue;
        remainingGuarantee -= size;
        guaranteed.insert(id);
    }
    return guaranteed;
}

bool fitsGuarantee(const schedule_state& state, const job_record& job)
{
    const auto index = workspaceIndex(state, job.spec.workspace);
    if (index == state.configuration.workspaces.size())
        return false;
    const auto guaranteed = guaranteedAccelerators(state.configuration.workspaces[index]);
    auto needed = gangAccelerators(job.spec);
    if (needed > guaranteed)
        return false;
    for (const auto& [id, other] : state.jobs) {
        if (other.state == job_state::Queued || other.spec.workspace != job.spec.workspace)
            continue;
        if (other.spec.preemptible && other.spec.jobClass > job.spec.jobClass)
            continue;
        needed += gangAccelerators(other.spec);
    }
    return needed <= guaranteed;
}

} // namespace chervilport
