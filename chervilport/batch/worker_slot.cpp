#include "chervilport/batch/worker_slot.h"

#include <algorithm>
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
    using worker_rank = std::tuple<bool, std::uint32_t, std::int32_t, bool, std::int64_t, std::int64_t, std::int64_t>;

    /// Returns the rank of a worker. For suspect tasks, workers that have not crashed and those with the fewest runs
    /// come first. Then come healthy workers, then workers that are reserved for urgent jobs: only steps that may use
    /// them are ranked on them, and this leaves the other workers to the other jobs. Then comes the tightest fit, so
    /// that empty workers stay available for large tasks.
    worker_rank rankOf(const worker_slot& slot, const resource_demand& demand, bool isSuspect)
    {
        const auto remaining = subtract(slot.free, demand);
        return { isSuspect && slot.hasCrashedLately, isSuspect ? slot.runs : 0, slot.failureWeight,
            !slot.reservedForUrgent, remaining.accelerators, remaining.milliCores, remaining.memoryMb };
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
            const bool isSuspect = limits.ready->isSuspect;
            if (!best || rankOf(slot, demand, isSuspect) < rankOf(slots[*best], demand, isSuspect))
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

    /// Places all tasks in one rack: the one with the fewest free accelerators after the placement.
    std::vector<placed_task> placeInOneRack(worker_slots& slots, placement_limits limits)
    {
        std::optional<std::pair<std::int64_t, std::string>> best;
        for (const auto& rack : racksOf(slots)) {
            limits.rack = rack;
            const auto placed = placeAllOrNone(slots, limits);
            if (placed.empty())
                continue;
            releaseCapacity(slots, *limits.ready, placed);
            std::int64_t free = 0;
            for (const auto& slot : slots) {
                if (slot.worker->report.rack == rack && slot.isUsable)
                    free += slot.free.accelerators;
            }
            if (!best || free < best->first)
                best = { free, rack };
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
