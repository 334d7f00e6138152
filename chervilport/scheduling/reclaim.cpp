#include "chervilport/scheduling/reclaim.h"

#include "chervilport/scheduling/attempts.h"
#include "chervilport/scheduling/capacity_view.h"
#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace chervilport {

namespace {

    using cost_table = std::map<job_id, std::int64_t>;

    /// Overhead of stopping and starting a job again.
    constexpr log_duration restartOverhead = std::chrono::seconds(10);

    /// Extra cost, in accelerator seconds, of stopping a job within the guarantee of its workspace.
    constexpr std::int64_t guaranteedSurcharge = 36'000;

    /// Shortest time that an attempt within a guarantee runs before it may be stopped, and number of preemptions after
    /// which such a job is not stopped again.
    constexpr log_duration minGuaranteedRunTime = std::chrono::minutes(10);
    constexpr std::int32_t maxGuaranteedPreemptions = 3;

    std::int64_t seconds(log_duration duration) { return duration.count() / 1'000'000; }

    /// Gangs of at least this many tasks are large: places for them rarely become free, so they are not stopped to save
    /// another job's wait.
    constexpr std::int32_t largeGang = 32;

    /// Longest run time of an attempt without a checkpoint that may be stopped to save another job's wait.
    constexpr log_duration shortAttempt = std::chrono::minutes(5);

    /// Weight of the wait and of the loss of a large gang.
    constexpr std::int64_t largeGangWeight = 3;

    /// Weight of lost work against the wait of a job that is not urgent, because all other jobs bear the loss.
    constexpr std::int64_t lossFactor = 4;

    /// Returns whether a job within its guarantee may stop others at the given cost. An urgent job always may. A job
    /// that is about to miss its deadline may if the cost is at most half of its own work, and any other job once its
    /// wait outweighs the cost.
    bool isWorthwhile(const schedule_state& state, const job_record& job, std::int64_t cost)
    {
        if (job.spec.jobClass == job_class::Urgent)
            return true;
        const auto remaining = remainingRunTime(state, job);
        const auto size = std::max(1, gangAccelerators(job.spec));
        if (job.spec.deadline && state.now + remaining * 3 / 2 > *job.spec.deadline)
            return cost <= seconds(remaining) * size / 2;
        constexpr log_duration gracePeriod = std::chrono::minutes(2);
        const auto waited = seconds(state.now - job.queuedAt + gracePeriod);
        return cost * lossFactor <= waited * size;
    }

    /// Returns the costs of all jobs that may be stopped; jobs that are already stopping cost nothing.
    cost_table victimCosts(const schedule_state& state, const job_record& job, const victim_cost& costOf)
    {
        cost_table costs;
        for (const auto& [id, other] : state.jobs) {
            if (other.tasks.empty() || id == job.id)
                continue;
            if (other.state == job_state::Stopping)
                costs.emplace(id, 0);
            else if (const auto cost = costOf(other))
                costs.emplace(id, *cost);
        }
        return costs;
    }

    /// Returns the capacity that the given jobs hold on a worker.
    resources heldBy(const schedule_state& state, const worker_record& worker, const std::set<job_id>& jobs)
    {
        resources sum;
        for (const auto& [id, rank] : worker.tasks)
            if (jobs.contains(id))
                sum = sum + state.jobs.at(id).spec.perTask;
        return sum;
    }

    /// Adds the cheapest victims until the demand fits on the worker.
    void chooseOnWorker(const schedule_state& state, const worker_record& worker, const resources& demand,
        const resources& freeCapacity, const cost_table& costs, std::set<job_id>& chosen)
    {
        std::vector<std::pair<std::int64_t, job_id>> candidates;
        for (const auto& [id, rank] : worker.tasks)
            if (const auto cost = costs.find(id); cost != costs.end())
                candidates.emplace_back(cost->second, id);
        std::sort(candidates.begin(), candidates.end());
        for (const auto& [cost, id] : candidates) {
            if (fits(demand, freeCapacity + heldBy(state, worker, chosen)))
                return;
            chosen.insert(id);
        }
    }

    using demand_list = std::vector<std::pair<std::int32_t, resources>>;

    bool fitsEverywhere(const schedule_state& state, const demand_list& demands,
        const std::vector<resources>& freeCapacity, const std::set<job_id>& chosen)
    {
        return std::all_of(demands.begin(), demands.end(), [&](const auto& entry) {
            return fits(entry.second, freeCapacity[entry.first] + heldBy(state, state.workers[entry.first], chosen));
        });
    }

    /// Removes victims that are not needed, the most expensive first.
    void removeUnneededVictims(const schedule_state& state, const demand_list& demands,
        const std::vector<resources>& freeCapacity, const cost_table& costs, std::set<job_id>& chosen)
    {
        std::vector<std::pair<std::int64_t, job_id>> order;
        for (const auto id : chosen)
            if (state.jobs.at(id).state != job_state::Stopping)
                order.emplace_back(-costs.at(id), id);
        std::sort(order.begin(), order.end());
        for (const auto& [cost, id] : order) {
            chosen.erase(id);
            if (!fitsEverywhere(state, demands, freeCapacity, chosen))
                chosen.insert(id);
        }
    }

} // namespace

std::optional<reclaim_plan> planReclaim(const schedule_state& state, const job_record& job, const victim_cost& costOf)
{
    const auto costs = victimCosts(state, job, costOf);
    const auto freeCapacity = freeCapacityFor(state, job);
    const auto allowance = job.spec.preemptible
        ? std::vector<resources>()
        : nonPreemptibleAllowance(state, workspaceIndex(state, job.spec.workspace));

    // Count the tasks that fit with and without stopping victims, and the cost of each additional task.
    auto slots = slotsFor(job, freeCapacity);
    for (std::size_t i = 0; i < state.workers.size(); ++i) {
        const auto& worker = state.workers[i];
        if (!isPlaceable(worker) || avoids(state, job, worker))
            continue;
        auto reclaimable = freeCapacity[i];
        std::int64_t cost = 0;
        for (const auto& [id, rank] : worker.tasks) {
            const auto found = costs.find(id);
            if (found == costs.end())
                continue;
            const auto& spec = state.jobs.at(id).spec;
            reclaimable = reclaimable + spec.perTask;
            cost += found->second / spec.taskCount;
        }
        if (!allowance.empty()) {
            reclaimable = minOf(reclaimable, allowance[i]);
            slots.free[i] = countFitting(job.spec.perTask, minOf(freeCapacity[i], allowance[i]), job.spec.taskCount);
        }
        slots.total[i] = std::max(slots.free[i], countFitting(job.spec.perTask, reclaimable, job.spec.taskCount));
        slots.cost[i] = cost / std::max(1, slots.total[i] - slots.free[i]);
    }
    auto workers = placeGang(state.racks, slots, job.spec.taskCount, job.spec.placement);
    if (!workers)
        return std::nullopt;

    // Choose the victims on these places.
    reclaim_plan plan { std::move(*workers), {}, 0 };
    const auto demands = demandByWorker(job, plan.workers);
    std::set<job_id> chosen;
    for (const auto& [id, cost] : costs)
        if (state.jobs.at(id).state == job_state::Stopping)
            chosen.insert(id);
    for (const auto& [worker, demand] : demands)
        chooseOnWorker(state, state.workers[worker], demand, freeCapacity[worker], costs, chosen);
    if (!fitsEverywhere(state, demands, freeCapacity, chosen))
        return std::nullopt;
    removeUnneededVictims(state, demands, freeCapacity, costs, chosen);
    for (const auto id : chosen) {
        if (state.jobs.at(id).state == job_state::Stopping)
            continue;
        plan.victims.push_back(id);
        plan.cost += costs.at(id);
    }
    return plan;
}

void executeReclaim(schedule_state& state, const job_record& job, const reclaim_plan& plan, const char* reason,
    std::vector<command>& out)
{
    const auto& policy = state.configuration.policy;
    const auto timeout = job.spec.jobClass == job_class::Urgent ? policy.stopTimeout : policy.checkpointTimeout;
    const auto due = state.now + timeout;
    state.reservations[job.id] = { plan.workers, state.now, due, true };
    for (const auto id : plan.victims) {
        auto& victim = state.jobs.at(id);
        ++victim.preemptions;
        const auto mode = victim.spec.checkpointable && victim.state == job_state::Running ? stop_mode::Checkpoint
                                                                                           : stop_mode::Kill;
        stopAttempt(state, victim, mode, job_state::Queued, reason, out, timeout);
    }
}

log_duration expectedLoss(const schedule_state& state, const job_record& job)
{
    const auto elapsed = job.startedAt ? state.now - *job.startedAt : log_duration(0);
    return restartOverhead + (job.spec.checkpointable && job.lostCheckpoints == 0 ? log_duration(0) : elapsed);
}

bool reclaimForGuarantee(schedule_state& state, const job_record& job, std::vector<command>& out)
{
    const auto guaranteed = guaranteedJobs(state);
    const auto costOf = [&](const job_record& other) -> std::optional<std::int64_t> {
        if (!other.spec.preemptible)
            return std::nullopt;
        const auto weight = other.spec.taskCount >= largeGang ? largeGangWeight : 1;
        const auto cost = weight * seconds(expectedLoss(state, other)) * std::max(1, gangAccelerators(other.spec));
        if (other.spec.workspace == job.spec.workspace)
            return other.spec.jobClass > job.spec.jobClass ? std::optional(cost) : std::nullopt;
        if (!guaranteed.contains(other.id))
            return cost;
        // A job within the guarantee of another workspace costs a surcharge, so that borrowers are preferred as
        // victims, and is stopped a limited number of times only. Otherwise two workspaces could preempt each other
        // endlessly.
        if (state.now - other.placedAt < minGuaranteedRunTime || other.preemptions >= maxGuaranteedPreemptions)
            return std::nullopt;
        return cost + guaranteedSurcharge;
    };
    const auto plan = planReclaim(state, job, costOf);
    if (!plan || !isWorthwhile(state, job, plan->cost))
        return false;
    executeReclaim(state, job, *plan, "stopped in favour of the guarantee of another job", out);
    return true;
}

bool reclaimIfWorthwhile(schedule_state& state, const job_record& job, log_duration wait, std::vector<command>& out)
{
    const auto size = std::max(1, gangAccelerators(job.spec));
    const auto costOf = [&](const job_record& other) -> std::optional<std::int64_t> {
        if (!other.spec.preemptible || other.state != job_state::Running || other.spec.jobClass < job.spec.jobClass
            || other.spec.taskCount >= largeGang)
            return std::nullopt;
        // A job that writes no checkpoints, or failed to write one, is stopped only shortly after its start.
        if ((!other.spec.checkpointable || other.lostCheckpoints > 0) && state.now - *other.startedAt > shortAttempt)
            return std::nullopt;
        // A smaller job is placed again sooner.
        const auto delay = expectedLoss(state, other) + wait * std::max(1, gangAccelerators(other.spec)) / size;
        if (other.spec.deadline && state.now + remainingRunTime(state, other) + delay > *other.spec.deadline)
            return std::nullopt;
        return seconds(delay) * (1 + other.preemptions);
    };
    const auto plan = planReclaim(state, job, costOf);
    const auto weight = job.spec.taskCount >= largeGang ? largeGangWeight : 1;
    if (!plan || plan->cost >= seconds(wait) * weight)
        return false;
    executeReclaim(state, job, *plan, "moved to make room for another job", out);
    return true;
}

bool reclaimBackfilled(schedule_state& state, const job_record& job, std::vector<command>& out)
{
    auto& reserved = state.reservations.at(job.id);
    if (reserved.reclaiming)
        return false;
    std::set<job_id> backfilled(reserved.backfilled.begin(), reserved.backfilled.end());
    const auto demands = demandByWorker(job, reserved.workers);
    std::set<job_id> victims;
    for (const auto& [index, demand] : demands) {
        const auto& worker = state.workers[index];
        const auto freeCapacity = worker.capacity - worker.used;
        if (fits(demand, freeCapacity))
            continue;
        if (!fits(demand, freeCapacity + heldBy(state, worker, backfilled)))
            return false;
        for (const auto& [id, rank] : worker.tasks)
            if (backfilled.contains(id))
                victims.insert(id);
    }
    executeReclaim(state, job,
        { std::vector(reserved.workers), std::vector<job_id>(victims.begin(), victims.end()), 0 },
        "was backfilled on places reserved for another job", out);
    return true;
}

} // namespace chervilport
