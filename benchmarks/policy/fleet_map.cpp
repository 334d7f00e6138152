#include "benchmarks/policy/fleet_map.h"

#include <algorithm>
#include <limits>
#include <set>

namespace chervilport::policy_benchmark {

resources add(const resources& a, const resources& b)
{
    return { a.accelerators + b.accelerators, a.millicores + b.millicores, a.memoryMb + b.memoryMb };
}

resources subtract(const resources& a, const resources& b)
{
    return { a.accelerators - b.accelerators, a.millicores - b.millicores, a.memoryMb - b.memoryMb };
}

bool isNonNegative(const resources& amount)
{
    return amount.accelerators >= 0 && amount.millicores >= 0 && amount.memoryMb >= 0;
}

std::int32_t tasksThatFit(const resources& free, const resources& perTask)
{
    std::int64_t count = std::numeric_limits<std::int32_t>::max();
    if (perTask.accelerators > 0)
        count = std::min<std::int64_t>(count, free.accelerators / perTask.accelerators);
    if (perTask.millicores > 0)
        count = std::min<std::int64_t>(count, free.millicores / perTask.millicores);
    if (perTask.memoryMb > 0)
        count = std::min<std::int64_t>(count, free.memoryMb / perTask.memoryMb);
    return static_cast<std::int32_t>(std::max<std::int64_t>(count, 0));
}

namespace {

    // A range of consecutive workers and the number of tasks that fit it.
    struct worker_range {
        std::size_t begin = 0;
        std::size_t end = 0;
        std::int32_t tasks = 0;
    };

    std::vector<std::int32_t> fitPerWorker(
        const fleet_map& fleet, const resources& perTask, std::span<const std::size_t> excluded)
    {
        std::vector<std::int32_t> fittingTasks;
        fittingTasks.reserve(fleet.workers.size());
        for (const auto& worker : fleet.workers)
            fittingTasks.push_back(tasksThatFit(worker.free, perTask));
        for (const auto worker : excluded)
            fittingTasks.at(worker) = 0;
        return fittingTasks;
    }

    std::vector<worker_range> rangesByRack(const fleet_map& fleet, std::span<const std::int32_t> fittingTasks)
    {
        std::vector<worker_range> racks;
        for (std::size_t i = 0; i < fittingTasks.size(); ++i) {
            if (i == 0 || fleet.workers[i].rackPosition != fleet.workers[i - 1].rackPosition)
                racks.push_back({ i, i, 0 });
            racks.back().end = i + 1;
            racks.back().tasks += fittingTasks[i];
        }
        return racks;
    }

    std::vector<worker_range> rangesByWorker(std::span<const std::int32_t> fittingTasks)
    {
        std::vector<worker_range> ranges;
        for (std::size_t i = 0; i < fittingTasks.size(); ++i)
            ranges.push_back({ i, i + 1, fittingTasks[i] });
        return ranges;
    }

    // Returns the ranges of consecutive racks that can all hold a task; a rack without a task would break the
    // adjacency.
    std::vector<worker_range> adjacentRackRanges(const fleet_map& fleet, std::span<const std::int32_t> fittingTasks)
    {
        std::vector<worker_range> ranges;
        bool isPreviousRackUsable = false;
        for (const auto& rack : rangesByRack(fleet, fittingTasks)) {
            if (rack.tasks == 0) {
                isPreviousRackUsable = false;
                continue;
            }
            if (isPreviousRackUsable) {
                ranges.back().end = rack.end;
                ranges.back().tasks += rack.tasks;
            } else {
                ranges.push_back(rack);
            }
            isPreviousRackUsable = true;
        }
        return ranges;
    }

    std::vector<worker_range> candidateRanges(
        const fleet_map& fleet, std::span<const std::int32_t> fittingTasks, adjacency placement)
    {
        switch (placement) {
        case adjacency::Worker:
            return rangesByWorker(fittingTasks);
        case adjacency::Rack:
            return rangesByRack(fleet, fittingTasks);
        case adjacency::AdjacentRacks:
            return adjacentRackRanges(fleet, fittingTasks);
        case adjacency::Any:
            break;
        }
        worker_range all { 0, fittingTasks.size(), 0 };
        for (const auto tasks : fittingTasks)
            all.tasks += tasks;
        return { all };
    }

} // namespace

std::optional<std::vector<std::size_t>> placeFirstFit(
    const fleet_map& fleet, const gang_demand& demand, std::span<const std::size_t> excluded)
{
    const auto fittingTasks = fitPerWorker(fleet, demand.perTask, excluded);
    for (const auto& range : candidateRanges(fleet, fittingTasks, demand.placement)) {
        if (range.tasks < demand.taskCount)
            continue;

        // Fill the workers of the range in order.
        std::vector<std::size_t> workers;
        auto remaining = demand.taskCount;
        for (auto i = range.begin; i < range.end && remaining > 0; ++i) {
            const auto count = std::min(remaining, fittingTasks[i]);
            workers.insert(workers.end(), count, i);
            remaining -= count;
        }
        return workers;
    }
    return std::nullopt;
}

std::int32_t largestPlaceable(const fleet_map& fleet, const gang_demand& demand, std::int32_t limit)
{
    const auto fittingTasks = fitPerWorker(fleet, demand.perTask, {});
    std::int32_t largest = 0;
    for (const auto& range : candidateRanges(fleet, fittingTasks, demand.placement))
        largest = std::max(largest, range.tasks);
    return std::min(largest, limit);
}

void allocate(fleet_map& fleet, std::span<const std::size_t> workers, const resources& perTask)
{
    for (const auto worker : workers)
        fleet.workers.at(worker).free = subtract(fleet.workers.at(worker).free, perTask);
}

bool meetsAdjacency(const fleet_map& fleet, std::span<const std::size_t> workers, adjacency placement)
{
    std::set<std::size_t> used(workers.begin(), workers.end());
    std::set<std::int32_t> racks;
    for (const auto worker : used)
        racks.insert(fleet.workers.at(worker).rackPosition);
    switch (placement) {
    case adjacency::Any:
        return true;
    case adjacency::AdjacentRacks:
        return *racks.rbegin() - *racks.begin() + 1 == static_cast<std::int32_t>(racks.size());
    case adjacency::Rack:
        return racks.size() == 1;
    case adjacency::Worker:
        return used.size() == 1;
    }
    return false;
}

} // namespace chervilport::policy_benchmark
