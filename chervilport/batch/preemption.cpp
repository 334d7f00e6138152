#include "chervilport/batch/preemption.h"

#include "chervilport/batch/guaranteed_jobs.h"
#include "chervilport/batch/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace chervilport::batch {

namespace {

    /// Maximum progress that a checkpointing task loses, in milliseconds: the time between two checkpoints.
    constexpr double checkpointIntervalMs = 1'000;
    /// Weight of the loss of urgent jobs: most have no slack for a restart, and callers rely on their start.
    constexpr double urgentLossWeight = 10.0;

    /// Returns the time whose work is lost when the run of a task is stopped, in milliseconds.
    double lostMs(const step_spec& spec, const task_record& task, std::int64_t nowMs)
    {
        const auto elapsed = static_cast<double>(std::max<std::int64_t>(0, nowMs - task.startedMs));
        return spec.checkpointing ? std::min(elapsed, checkpointIntervalMs) : elapsed;
    }

    /// An active step of an occurrence.
    struct active_step {
        const job_record& job;
        std::uint32_t occurrence;
        std::uint32_t step;
        const step_record& record;
    };

    /// Returns the expected loss of value when one run of the step is stopped. The end of a member ends all runs of its
    /// gang; the loss of a step of single tasks is spread over its active ones, since its job ends with the last.
    double lostValue(const batch_state& state, const run_estimates& estimates, const preemption_prices& prices,
        const active_step& active, const task_record& task, std::int64_t nowMs)
    {
        const auto& spec = active.job.request.steps[active.step];
        const auto runs = static_cast<double>(active.record.activeCount);
        const auto lost = lostMs(spec, task, nowMs);
        const auto thrownAway = coreSeconds(spec, lost) * (spec.gang ? runs : 1.0);
        auto loss = thrownAway * prices.valuePerCoreSecond;
        const ready_step step { &active.job, active.occurrence, active.step, {}, &active.record,
            dueMs(active.job, active.occurrence) };
        const auto cost = delayCostOf(state, estimates, step);
        if (!spec.longRunning && hasObjective(cost)) {
            // If the run goes on, it ends as if it had started at this age.
            const auto startAge = static_cast<double>(task.startedMs - step.jobDueMs);
            const auto delay = lost + prices.meanWaitMs;
            loss += delayLoss(cost, startAge, delay) / (spec.gang ? 1.0 : runs);
        }
        return active.job.queue.priority == guaranteedPriority ? urgentLossWeight * loss : loss;
    }

    bool isSameStep(const run_ref& left, const run_ref& right)
    {
        return left.task.job == right.task.job && left.task.occurrence == right.task.occurrence
            && left.task.step == right.task.step;
    }

    /// A worker that is eligible for tasks of the step, and the runs that can be stopped there.
    struct candidate_slot {
        std::size_t slot = 0;
        resource_demand free;
        /// Capacity that becomes free without further preemption.
        resource_demand releasing;
        /// Indices of the victims on the worker.
        std::vector<std::size_t> victims;
        /// Expected loss of value of the step if this is the slowest of its workers.
        double slowLoss = 0;
    };

    /// Slot of one task, and the indices of the victims that stop for it.
    struct task_choice {
        std::size_t slot = 0;
        std::vector<std::size_t> victims;
    };

    /// Placement of all tasks of a step.
    struct preemption_plan {
        double lostValue = 0;
        std::vector<task_choice> choices;
    };

    /// Victims that stop for one more task on a worker.
    struct victim_selection {
        double lostValue = 0;
        std::vector<std::size_t> victims;
    };

    /// Victims of a plan that are members of gangs; all runs of these gangs end.
    using stopped_gangs = std::vector<const preemption_victim*>;

    bool isStopping(const preemption_victim& victim, const stopped_gangs& gangs)
    {
        return victim.isStopping || std::any_of(gangs.begin(), gangs.end(), [&](const preemption_victim* each) {
            return isSameStep(each->run, victim.run);
        });
    }

    /// Selects victims until the task fits: first runs that stop anyway, then those with the least lost value. Returns
    /// nothing if the task does not fit.
    std::optional<victim_selection> selectVictims(const candidate_slot& slot, const resource_demand& demand,
        const std::vector<preemption_victim>& victims, const stopped_gangs& gangs)
    {
        const auto lossOf
            = [&](std::size_t index) { return isStopping(victims[index], gangs) ? 0.0 : victims[index].lostValue; };
        auto candidates = slot.victims;
        std::sort(candidates.begin(), candidates.end(),
            [&](std::size_t left, std::size_t right) { return lossOf(left) < lossOf(right); });
        victim_selection selection;
        auto freeCapacity = slot.free;
        addScaled(freeCapacity, slot.releasing, 1);
        for (const auto candidate : candidates) {
            if (fitsInto(demand, freeCapacity))
                break;
            addScaled(freeCapacity, victims[candidate].releasedCapacity, 1);
            selection.victims.push_back(candidate);
            selection.lostValue += lossOf(candidate);
        }
        if (!fitsInto(demand, freeCapacity))
            return std::nullopt;
        return selection;
    }

    std::vector<candidate_slot> listCandidateSlots(const worker_slots& slots,
        const std::vector<preemption_victim>& victims, const ready_step& ready, const std::string& service,
        const slow_worker_loss& slowLoss, victim_scope scope)
    {
        std::map<worker_number, std::vector<std::size_t>> byWorker;
        for (std::size_t i = 0; i < victims.size(); ++i) {
            if (scope == victim_scope::All || victims[i].isFiller || victims[i].isStopping)
                byWorker[victims[i].worker].push_back(i);
        }
        std::vector<candidate_slot> candidates;
        for (std::size_t i = 0; i < slots.size(); ++i) {
            const auto& slot = slots[i];
            if (!slot.isUsable || isReservedForOther(slot, ready) || !isEligible(slot, ready, service))
                continue;
            const auto loss = slowLoss.find(slot.speedClass);
            candidates.push_back({ i, slot.free, slot.releasing, byWorker[slot.worker->number],
                loss == slowLoss.end() ? 0 : loss->second });
        }
        return candidates;
    }

    /// Places all tasks of the step on the given workers, each where the least value is lost. Returns nothing if not
    /// all tasks fit.
    std::optional<preemption_plan> planWithin(
        std::vector<candidate_slot> candidates, const std::vector<preemption_victim>& victims, const ready_step& ready)
    {
        const auto demand = chargedDemand(specOf(ready));
        preemption_plan plan;
        stopped_gangs gangs;
        double slowest = 0;
        for (std::size_t task = 0; task < ready.tasks.size(); ++task) {
            candidate_slot* best = nullptr;
            victim_selection bestSelection;
            for (auto& slot : candidates) {
                auto selection = selectVictims(slot, demand, victims, gangs);
                if (!selection)
                    continue;
                // The slowest worker sets the end of the step.
                selection->lostValue += std::max(0.0, slot.slowLoss - slowest);
                if (best != nullptr && selection->lostValue >= bestSelection.lostValue)
                    continue;
                best = &slot;
                bestSelection = std::move(*selection);
            }
            if (best == nullptr)
                return std::nullopt;
            // Charge the task and its victims to the chosen worker.
            for (const auto victim : bestSelection.victims) {
                addScaled(best->releasing, victims[victim].releasedCapacity, 1);
                std::erase(best->victims, victim);
                if (victims[victim].isGangMember)
                    gangs.push_back(&victims[victim]);
            }
            addScaled(best->free, demand, -1);
            slowest = std::max(slowest, best->slowLoss);
            plan.lostValue += bestSelection.lostValue;
            plan.choices.push_back({ best->slot, std::move(bestSelection.victims) });
        }
        return plan;
    }

    bool isRackBound(const step_spec& spec) { return (spec.gang && spec.rackLocal) || !spec.dataRack.empty(); }

    /// Plans within the rack where the step is fast: the rack of its data, or for rack-local gangs the rack where the
    /// least value is lost.
    std::optional<preemption_plan> planInRack(const std::vector<candidate_slot>& candidates, const worker_slots& slots,
        const std::vector<preemption_victim>& victims, const ready_step& ready)
    {
        const auto& spec = specOf(ready);
        if (!isRackBound(spec))
            return std::nullopt;
        std::map<std::string, std::vector<candidate_slot>> byRack;
        for (const auto& each : candidates) {
            const auto& rack = slots[each.slot].worker->report.rack;
            if (spec.dataRack.empty() || rack == spec.dataRack)
                byRack[rack].push_back(each);
        }
        std::optional<preemption_plan> best;
        for (const auto& [rack, members] : byRack) {
            auto plan = planWithin(members, victims, ready);
            if (plan && (!best || plan->lostValue < best->lostValue))
                best = std::move(plan);
        }
        return best;
    }

    /// Marks the other members of a gang as stopping. They end with the chosen victim, so their capacity is released
    /// without further loss.
    void markGangAsStopping(std::vector<preemption_victim>& victims, const preemption_victim& chosen)
    {
        if (!chosen.isGangMember)
            return;
        for (auto& each : victims)
            each.isStopping = each.isStopping || isSameStep(each.run, chosen.run);
    }

} // namespace

bool isFiller(const job_record& job, const step_spec& spec)
{
    return !spec.gang && !spec.longRunning && job.queue.priority > guaranteedPriority;
}

std::vector<preemption_victim> listVictims(const batch_state& state, const run_estimates& estimates,
    const preemption_prices& prices, const std::set<std::string>& guaranteed, const std::set<run_ref>& stopping,
    std::int64_t nowMs)
{
    std::vector<preemption_victim> victims;
    for (const auto& [id, job] : state.jobs) {
        if (job.activeRuns == 0 || guaranteed.contains(id))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job.request.steps[step];
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].worker == noWorker)
                        continue;
                    const run_ref run { { id, number, step, i }, tasks[i].lastRun };
                    const bool isAlreadyStopping = stopping.contains(run) || job.phase != job_phase::Active;
                    const active_step active { job, number, step, occurrence.steps[step] };
                    const auto lost = lostValue(state, estimates, prices, active, tasks[i], nowMs);
                    victims.push_back({ run, tasks[i].worker, chargedDemand(spec), lost, spec.gang, isAlreadyStopping,
                        isFiller(job, spec) });
                }
            }
        }
    }
    return victims;
}

slow_worker_loss lossOnSlowWorkers(const worker_slots& slots, const delay_cost& cost, double ageMs)
{
    slow_worker_loss losses;
    for (const auto& slot : slots) {
        if (slot.speedClass <= 0 || losses.contains(slot.speedClass))
            continue;
        auto slow = cost;
        slow.remainingMs *= std::pow(speedClassRatio, slot.speedClass);
        losses[slot.speedClass] = expectedValue(cost, ageMs) - expectedValue(slow, ageMs);
    }
    return losses;
}

std::vector<preemption_choice> choosePreemptions(worker_slots& slots, std::vector<preemption_victim>& victims,
    const ready_step& ready, const slow_worker_loss& slowLoss, const std::string& service, bool allowOffRack,
    victim_scope scope)
{
    const auto candidates = listCandidateSlots(slots, victims, ready, service, slowLoss, scope);
    auto plan = planInRack(candidates, slots, victims, ready);
    if (!plan && (allowOffRack || !isRackBound(specOf(ready))))
        plan = planWithin(candidates, victims, ready);
    if (!plan)
        return {};
    // Charge the plan to the slots and remove its victims from further choices.
    std::vector<preemption_choice> choices;
    for (const auto& each : plan->choices) {
        auto& slot = slots[each.slot];
        preemption_choice choice { each.slot, {} };
        for (const auto victim : each.victims) {
            addScaled(slot.releasing, victims[victim].releasedCapacity, 1);
            choice.victims.push_back(victims[victim].run);
            victims[victim].worker = noWorker;
            markGangAsStopping(victims, victims[victim]);
        }
        addScaled(slot.free, chargedDemand(specOf(ready)), -1);
        choices.push_back(std::move(choice));
    }
    return choices;
}

} // namespace chervilport::batch
