#include "chervilport/batch/preemption.h"

#include "chervilport/batch/guarantee_cover.h"

#include <algorithm>
#include <optional>

namespace chervilport::batch {

namespace {

    constexpr double coresPerAccelerator = 8.0;
    constexpr double milliCoresPerCore = 1000.0;
    constexpr double msPerSecond = 1000.0;
    /// Progress that a checkpointing task can lose, in seconds: the time between two checkpoints.
    constexpr double checkpointIntervalS = 1.0;
    /// Weight of lost work of urgent jobs: one that begins again misses its objective, other work mostly still meets
    /// it.
    constexpr double urgentLossWeight = 10.0;

    double lostWork(const step_spec& spec, const task_record& task, std::int64_t nowMs)
    {
        const auto cores = static_cast<double>(spec.demand.milliCores) / milliCoresPerCore
            + coresPerAccelerator * static_cast<double>(spec.demand.accelerators);
        auto seconds = static_cast<double>(std::max<std::int64_t>(0, nowMs - task.startedMs)) / msPerSecond;
        if (spec.checkpointing)
            seconds = std::min(seconds, checkpointIntervalS);
        // The end of one member ends the whole gang.
        return cores * seconds * (spec.gang ? static_cast<double>(spec.count) : 1.0);
    }

    struct worker_offer {
        double lostWork = 0;
        std::vector<std::size_t> victims;
    };

    /// Cheapest victims first until the task fits.
    std::optional<worker_offer> offerOf(const worker_slot& slot, const resource_demand& demand,
        std::vector<std::size_t> candidates, const std::vector<preemption_victim>& victims)
    {
        std::sort(candidates.begin(), candidates.end(), [&](std::size_t left, std::size_t right) {
            if (victims[left].stopping != victims[right].stopping)
                return victims[left].stopping;
            return victims[left].lostWork < victims[right].lostWork;
        });
        worker_offer offer;
        auto room = slot.free;
        addTimes(room, slot.promised, 1);
        for (const auto candidate : candidates) {
            if (fitsInto(demand, room))
                break;
            addTimes(room, victims[candidate].room, 1);
            offer.victims.push_back(candidate);
            if (!victims[candidate].stopping)
                offer.lostWork += victims[candidate].lostWork;
        }
        if (!fitsInto(demand, room))
            return std::nullopt;
        return offer;
    }

    bool isSameStep(const run_ref& left, const run_ref& right)
    {
        return left.task.job == right.task.job && left.task.occurrence == right.task.occurrence
            && left.task.step == right.task.step;
    }

    /// The rest of a gang ends with its first victim, so its room is had for nothing.
    void markGangMates(std::vector<preemption_victim>& victims, const preemption_victim& chosen)
    {
        if (!chosen.gang)
            return;
        for (auto& each : victims)
            each.stopping = each.stopping || isSameStep(each.run, chosen.run);
    }

} // namespace

std::vector<preemption_victim> listVictims(const batch_state& state, const std::set<std::string>& covered,
    const std::set<run_ref>& stopping, std::int64_t nowMs)
{
    std::vector<preemption_victim> victims;
    for (const auto& [id, job] : state.jobs) {
        if (job.activeRuns == 0 || covered.contains(id))
            continue;
        const double weight = job.priority == guaranteedPriority ? urgentLossWeight : 1.0;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job.request.steps[step];
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].worker == noWorker)
                        continue;
                    const run_ref run { { id, number, step, i }, tasks[i].lastRun };
                    const bool ends = stopping.contains(run) || job.phase != job_phase::Active;
                    victims.push_back({ run, tasks[i].worker, chargedDemand(spec),
                        weight * lostWork(spec, tasks[i], nowMs), spec.gang, ends });
                }
            }
        }
    }
    return victims;
}

std::vector<preemption_choice> choosePreemptions(
    worker_slots& slots, std::vector<preemption_victim>& victims, const ready_step& ready, const std::string& service)
{
    const auto demand = chargedDemand(specOf(ready));
    std::vector<preemption_choice> choices;
    const auto before = slots;
    for (std::size_t task = 0; task < ready.tasks.size(); ++task) {
        std::optional<std::size_t> bestSlot;
        worker_offer best;
        for (std::size_t i = 0; i < slots.size(); ++i) {
            const auto& slot = slots[i];
            const bool reserved = !slot.reservedFor.empty() && slot.reservedFor != ready.job->request.id;
            if (!slot.usable || reserved || !isEligible(slot, ready, service))
                continue;
            std::vector<std::size_t> candidates;
            for (std::size_t each = 0; each < victims.size(); ++each) {
                if (victims[each].worker == slot.worker->number)
                    candidates.push_back(each);
            }
            const auto offer = offerOf(slot, demand, std::move(candidates), victims);
            if (offer && (!bestSlot || offer->lostWork < best.lostWork)) {
                bestSlot = i;
                best = *offer;
            }
        }
        if (!bestSlot) {
            slots = before;
            return {};
        }
        auto& slot = slots[*bestSlot];
        preemption_choice choice { *bestSlot, {} };
        for (const auto each : best.victims) {
            addTimes(slot.promised, victims[each].room, 1);
            choice.victims.push_back(victims[each].run);
            victims[each].worker = noWorker;
            markGangMates(victims, victims[each]);
        }
        addTimes(slot.free, demand, -1);
        choices.push_back(std::move(choice));
    }
    return choices;
}

} // namespace chervilport::batch
