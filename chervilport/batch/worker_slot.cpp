#include "chervilport/batch/worker_slot.h"

#include "chervilport/batch/guaranteed_jobs.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace chervilport::batch {

namespace {

    /// Constraints on the workers for one step.
    struct placement_limits {
        const ready_step* ready = nullptr;
        const std::string* service = nullptr;
        /// Rack to place in; empty for any.
        std::string rack;
    };

    bool hasLabel(const worker_report& report, const std::string& label)
    {
        return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
    }

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
        if (ready.job->priority == guaranteedPriority)
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

    /// Returns the number of tasks of the step that this pass has placed on a worker for another part of the step.
    std::uint32_t countPlaced(const worker_slot& slot, const ready_step& ready)
    {
        return static_cast<std::uint32_t>(
            std::count_if(slot.limitedTasks.begin(), slot.limitedTasks.end(), [&](const task_ref& task) {
                return task.job == ready.job->request.id && task.occurrence == ready.occurrence
                    && task.step == ready.step;
            }));
    }

    std::optional<std::size_t> chooseSlot(
        const worker_slots& slots, const placement_limits& limits, const std::map<worker_number, std::uint32_t>& runs)
    {
        const auto& spec = specOf(*limits.ready);
        const auto demand = chargedDemand(spec);
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < slots.size(); ++i) {
            const auto& slot = slots[i];
            if (!slot.isUsable || !fitsInto(demand, slot.free) || isReservedForOther(slot, *limits.ready))
                continue;
            if (!limits.rack.empty() && slot.worker->report.rack != limits.rack)
                continue;
            if (!isEligible(slot, *limits.ready, *limits.service))
                continue;
            if (spec.maxPerWorker > 0) {
                const auto found = runs.find(slot.worker->number);
                const auto active = found == runs.end() ? 0 : found->second;
                if (active + countPlaced(slot, *limits.ready) >= spec.maxPerWorker)
                    continue;
            }
            if (!best || rankOf(slot, *limits.ready, demand) < rankOf(slots[*best], *limits.ready, demand))
                best = i;
        }
        return best;
    }

    std::vector<placed_task> placeGreedily(worker_slots& slots, const placement_limits& limits)
    {
        const auto demand = chargedDemand(specOf(*limits.ready));
        auto runs = countRuns(*limits.ready);
        std::vector<placed_task> placed;
        for (const auto index : limits.ready->tasks) {
            const auto chosen = chooseSlot(slots, limits, runs);
            if (!chosen)
                break;
            addScaled(slots[*chosen].free, demand, -1);
            ++runs[slots[*chosen].worker->number];
            placed.push_back({ index, *chosen });
        }
        return placed;
    }

    void releaseCapacity(worker_slots& slots, const ready_step& ready, const std::vector<placed_task>& placed)
    {
        for (const auto& each : placed)
            addScaled(slots[each.slot].free, chargedDemand(specOf(ready)), 1);
    }

    std::vector<placed_task> placeAllOrNone(worker_slots& slots, const placement_limits& limits)
    {
        auto placed = placeGreedily(slots, limits);
        if (placed.size() == limits.ready->tasks.size())
            return placed;
        releaseCapacity(slots, *limits.ready, placed);
        return {};
    }

    std::set<std::string> racksOf(const worker_slots& slots)
    {
        std::set<std::string> racks;
        for (const auto& slot : slots)
            racks.insert(slot.worker->report.rack);
        return racks;
    }

    /// Rank of a rack for a gang; lower is better: the speed of its slowest member, then the free accelerators after
    /// the placement.
    using rack_rank = std::pair<std::int32_t, std::int64_t>;

    rack_rank rankOfRack(
        const worker_slots& slots, const placement_limits& limits, const std::vector<placed_task>& placed)
    {
        auto slowest = std::numeric_limits<std::int32_t>::min();
        for (const auto& each : placed)
            slowest = std::max(slowest, speedRankOf(slots[each.slot], *limits.ready));
        std::int64_t free = 0;
        for (const auto& slot : slots) {
            if (slot.worker->report.rack == limits.rack && slot.isUsable)
                free += slot.free.accelerators;
        }
        return { slowest, free };
    }

    /// Places all tasks in the rack with the best rank.
    std::vector<placed_task> placeInOneRack(worker_slots& slots, placement_limits limits)
    {
        std::optional<std::pair<rack_rank, std::string>> best;
        for (const auto& rack : racksOf(slots)) {
            limits.rack = rack;
            const auto placed = placeAllOrNone(slots, limits);
            if (placed.empty())
                continue;
            const auto rank = rankOfRack(slots, limits, placed);
            releaseCapacity(slots, *limits.ready, placed);
            if (!best || rank < best->first)
                best = { rank, rack };
        }
        if (!best)
            return {};
        limits.rack = best->second;
        return placeAllOrNone(slots, limits);
    }

} // namespace

const worker_slot* findSlot(const worker_slots& slots, worker_number number)
{
    const auto found = std::lower_bound(slots.begin(), slots.end(), number,
        [](const worker_slot& slot, worker_number wanted) { return slot.worker->number < wanted; });
    return found != slots.end() && found->worker->number == number ? &*found : nullptr;
}

worker_slot* findSlot(worker_slots& slots, worker_number number)
{
    return const_cast<worker_slot*>(findSlot(std::as_const(slots), number));
}

bool isReservedForOther(const worker_slot& slot, const ready_step& ready)
{
    const auto& job = ready.job->request.id;
    if (!slot.reservedFor.empty() && slot.reservedFor != job)
        return true;
    if (!slot.isolatedFor.empty())
        return slot.isolatedFor != job;
    return ready.needsEmptyWorker && slot.runs > 0;
}

bool isEligible(const worker_slot& slot, const ready_step& ready, const std::string& service)
{
    const auto& report = slot.worker->report;
    const auto& spec = specOf(ready);
    if (slot.reservedForUrgent && !ready.mayUseUrgentReservation)
        return false;
    return report.service == service && (spec.requiredLabel.empty() || hasLabel(report, spec.requiredLabel));
}

std::map<worker_number, std::uint32_t> countRuns(const ready_step& ready)
{
    std::map<worker_number, std::uint32_t> runs;
    if (ready.progress == nullptr || specOf(ready).maxPerWorker == 0)
        return runs;
    for (const auto& task : ready.progress->tasks) {
        if (task.worker != noWorker)
            ++runs[task.worker];
    }
    return runs;
}

std::vector<placed_task> placeStep(
    worker_slots& slots, const ready_step& ready, const std::string& service, bool allowOffRack)
{
    const auto& spec = specOf(ready);
    placement_limits limits { &ready, &service, spec.dataRack };
    if (spec.gang) {
        auto placed
            = spec.rackLocal && limits.rack.empty() ? placeInOneRack(slots, limits) : placeAllOrNone(slots, limits);
        if (!placed.empty() || !allowOffRack || (limits.rack.empty() && !spec.rackLocal))
            return placed;
        limits.rack.clear();
        return placeAllOrNone(slots, limits);
    }
    auto placed = placeGreedily(slots, limits);
    if (!placed.empty() || !allowOffRack || limits.rack.empty())
        return placed;
    limits.rack.clear();
    return placeGreedily(slots, limits);
}

} // namespace chervilport::batch
