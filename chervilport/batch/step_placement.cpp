#include "chervilport/batch/step_placement.h"

#include "chervilport/batch/guaranteed_jobs.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace chervilport::batch {

namespace {

    /// Rank of a worker; lower is better.
    using worker_rank
        = std::tuple<bool, std::uint32_t, std::int32_t, std::int32_t, bool, std::int64_t, std::int64_t, std::int64_t>;

    /// Returns the rank of a worker's speed for a step. Urgent jobs prefer fast workers, since they have little slack,
    /// and other gangs avoid slow ones, since their slowest member sets their end. Other tasks leave both to them: they
    /// take slow workers first, and then those of unknown speed, so that it is learnt.
    std::int32_t speedRankOf(const worker_slot& slot, const ready_step& ready)
    {
        constexpr std::int32_t ranksPerClass = 2;
        constexpr std::int32_t unknownRank = -1;
        const auto rank = slot.isSpeedKnown ? ranksPerClass * slot.speedClass : 0;
        if (ready.job->queue.priority == guaranteedPriority)
            return rank;
        if (specOf(ready).gang)
            return std::max(rank, 0);
        return slot.isSpeedKnown ? -rank : unknownRank;
    }

    /// Returns the rank of a worker. For suspect tasks, workers that have not crashed and those with the fewest runs
    /// come first. Then come healthy workers, then those of a suitable speed, then workers that are reserved for urgent
    /// jobs: only steps that may use them are ranked on them, and this leaves the other workers to the other jobs. Then
    /// comes the tightest fit, so that empty workers stay available for large tasks.
    worker_rank rankOf(const worker_slot& slot, const ready_step& ready, const resource_demand& demand)
    {
        const auto remaining = subtract(slot.free, demand);
        const bool isSuspect = ready.isSuspect;
        return { isSuspect && slot.hasCrashedLately, isSuspect ? slot.runs : 0, slot.failureWeight,
            speedRankOf(slot, ready), !slot.reservedForUrgent, remaining.accelerators, remaining.milliCores,
            remaining.memoryMb };
    }

    /// A worker that can take a task of the step.
    struct candidate {
        worker_rank rank;
        std::size_t slot = 0;
        /// Number of tasks that it may still take under the limit per worker.
        std::uint32_t remainingTasks = std::numeric_limits<std::uint32_t>::max();
    };

    /// Orders a heap so that the candidate with the best rank is on top, of equal ones that with the lower slot.
    bool isWorse(const candidate& left, const candidate& right)
    {
        return std::tie(left.rank, left.slot) > std::tie(right.rank, right.slot);
    }

    /// Returns the number of active runs of the step by worker.
    std::map<worker_number, std::uint32_t> countRuns(const ready_step& ready)
    {
        std::map<worker_number, std::uint32_t> runs;
        if (ready.progress == nullptr)
            return runs;
        for (const auto& task : ready.progress->tasks) {
            if (task.worker != noWorker)
                ++runs[task.worker];
        }
        return runs;
    }

    /// Returns the number of tasks of the step that this pass has placed on a worker for another part of the step.
    std::uint32_t countPlaced(const worker_slot& slot, const ready_step& ready)
    {
        return static_cast<std::uint32_t>(
            std::count_if(slot.limitedTasks.begin(), slot.limitedTasks.end(), [&](const task_ref& task) {
                return task.job == ready.job->request.id && task.occurrence == ready.occurrence
                    && task.step == ready.step;
            }));
    }

    /// Removes the workers that have reached the limit per worker of the step, if it has one.
    void applyLimitPerWorker(std::vector<candidate>& candidates, const worker_slots& slots, const ready_step& ready)
    {
        const auto limit = specOf(ready).maxPerWorker;
        if (limit == 0)
            return;
        const auto runs = countRuns(ready);
        for (auto& each : candidates) {
            const auto found = runs.find(slots[each.slot].worker->number);
            const auto used = (found == runs.end() ? 0 : found->second) + countPlaced(slots[each.slot], ready);
            each.remainingTasks = used >= limit ? 0 : limit - used;
        }
        std::erase_if(candidates, [](const candidate& each) { return each.remainingTasks == 0; });
    }

    /// Returns the workers that can take at least one task of the step, in the order of their slots. `rack` limits them
    /// to a rack unless it is empty.
    std::vector<candidate> listCandidates(
        const worker_slots& slots, const ready_step& ready, const std::string& service, const std::string& rack)
    {
        const auto demand = chargedDemand(specOf(ready));
        std::vector<candidate> candidates;
        for (std::size_t i = 0; i < slots.size(); ++i) {
            const auto& slot = slots[i];
            if (!slot.isUsable || !fitsInto(demand, slot.free) || isReservedForOther(slot, ready))
                continue;
            if (!rack.empty() && slot.worker->report.rack != rack)
                continue;
            if (isEligible(slot, ready, service))
                candidates.push_back({ rankOf(slot, ready, demand), i });
        }
        applyLimitPerWorker(candidates, slots, ready);
        return candidates;
    }

    /// Places the tasks one by one, each on the candidate with the best rank, until none can take the next one.
    std::vector<placed_task> placeGreedily(
        worker_slots& slots, const ready_step& ready, std::vector<candidate> candidates)
    {
        const auto demand = chargedDemand(specOf(ready));
        std::make_heap(candidates.begin(), candidates.end(), isWorse);
        std::vector<placed_task> placed;
        for (const auto index : ready.tasks) {
            if (candidates.empty())
                break;
            std::pop_heap(candidates.begin(), candidates.end(), isWorse);
            auto& chosen = candidates.back();
            auto& slot = slots[chosen.slot];
            placed.push_back({ index, chosen.slot });
            addScaled(slot.free, demand, -1);
            // Put the worker back if it can take another task.
            if (--chosen.remainingTasks > 0 && fitsInto(demand, slot.free)) {
                chosen.rank = rankOf(slot, ready, demand);
                std::push_heap(candidates.begin(), candidates.end(), isWorse);
            } else
                candidates.pop_back();
        }
        return placed;
    }

    void releaseCapacity(worker_slots& slots, const ready_step& ready, const std::vector<placed_task>& placed)
    {
        for (const auto& each : placed)
            addScaled(slots[each.slot].free, chargedDemand(specOf(ready)), 1);
    }

    std::vector<placed_task> placeAllOrNone(
        worker_slots& slots, const ready_step& ready, std::vector<candidate> candidates)
    {
        auto placed = placeGreedily(slots, ready, std::move(candidates));
        if (placed.size() == ready.tasks.size())
            return placed;
        releaseCapacity(slots, ready, placed);
        return {};
    }

    /// Rank of a rack for a gang; lower is better: the speed of its slowest member, then the free accelerators after
    /// the placement.
    using rack_rank = std::pair<std::int32_t, std::int64_t>;

    std::int32_t slowestRank(const worker_slots& slots, const ready_step& ready, const std::vector<placed_task>& placed)
    {
        auto slowest = std::numeric_limits<std::int32_t>::min();
        for (const auto& each : placed)
            slowest = std::max(slowest, speedRankOf(slots[each.slot], ready));
        return slowest;
    }

    std::vector<std::int64_t> freeAcceleratorsByRack(const worker_slots& slots)
    {
        std::vector<std::int64_t> byRack(countRacks(slots));
        for (const auto& slot : slots) {
            if (slot.isUsable)
                byRack[slot.rackNumber] += slot.free.accelerators;
        }
        return byRack;
    }

    /// Places all tasks in the rack with the best rank.
    std::vector<placed_task> placeInOneRack(
        worker_slots& slots, const ready_step& ready, const std::vector<candidate>& candidates)
    {
        const auto freeAccelerators = freeAcceleratorsByRack(slots);
        std::vector<std::vector<candidate>> byRack(freeAccelerators.size());
        for (const auto& each : candidates)
            byRack[slots[each.slot].rackNumber].push_back(each);
        // All racks lose the same number of accelerators by the placement.
        std::optional<std::pair<rack_rank, std::size_t>> best;
        for (std::size_t rack = 0; rack < byRack.size(); ++rack) {
            const auto placed = placeAllOrNone(slots, ready, byRack[rack]);
            if (placed.empty())
                continue;
            const rack_rank rank { slowestRank(slots, ready, placed), freeAccelerators[rack] };
            releaseCapacity(slots, ready, placed);
            if (!best || rank < best->first)
                best = { rank, rack };
        }
        if (!best)
            return {};
        return placeAllOrNone(slots, ready, std::move(byRack[best->second]));
    }

} // namespace

std::vector<placed_task> placeStep(
    worker_slots& slots, const ready_step& ready, const std::string& service, bool allowOffRack)
{
    const auto& spec = specOf(ready);
    const bool isRackBound = (spec.gang && spec.rackLocal) || !spec.dataRack.empty();
    // Place where the tasks are fast.
    auto candidates = listCandidates(slots, ready, service, spec.dataRack);
    std::vector<placed_task> placed;
    if (!spec.gang)
        placed = placeGreedily(slots, ready, std::move(candidates));
    else if (spec.rackLocal && spec.dataRack.empty())
        placed = placeInOneRack(slots, ready, candidates);
    else
        placed = placeAllOrNone(slots, ready, std::move(candidates));
    if (!placed.empty() || !allowOffRack || !isRackBound)
        return placed;
    // Otherwise place anywhere.
    candidates = listCandidates(slots, ready, service, {});
    return spec.gang ? placeAllOrNone(slots, ready, std::move(candidates))
                     : placeGreedily(slots, ready, std::move(candidates));
}

} // namespace chervilport::batch
