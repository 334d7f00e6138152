#include "chervilport/configuration/guarantee_proof.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace chervilport {

namespace {

    /// Free capacity of the workers of a rack.
    using rack_workers = std::vector<resources>;
    /// Racks of a failure domain by position.
    using rack_map = std::map<std::int32_t, rack_workers>;

    /// A guaranteed shape and its key in the document.
    struct guaranteed_shape {
        shape required;
        std::string key;
    };

    rack_map racksOf(const domain_capacity& domain)
    {
        rack_map racks;
        for (const auto& group : domain.groups) {
            auto& workers = racks[group.rackPosition];
            workers.insert(workers.end(), static_cast<std::size_t>(std::max(0, group.workers)), group.capacity);
        }
        return racks;
    }

    bool hasCapacityFor(const resources& free, const resources& demand)
    {
        return free.accelerators >= demand.accelerators && free.millicores >= demand.millicores
            && free.memoryMb >= demand.memoryMb;
    }

    void subtract(resources& free, const resources& demand)
    {
        free.accelerators -= demand.accelerators;
        free.millicores -= demand.millicores;
        free.memoryMb -= demand.memoryMb;
    }

    /// Returns the number of tasks that fit on a worker, at most `limit`.
    std::int32_t slotsOn(resources free, const resources& demand, std::int32_t limit)
    {
        std::int32_t slots = 0;
        while (slots < limit && hasCapacityFor(free, demand)) {
            subtract(free, demand);
            ++slots;
        }
        return slots;
    }

    std::int32_t slotsIn(const rack_workers& workers, const shape& required)
    {
        std::int32_t slots = 0;
        for (const auto& free : workers)
            slots += slotsOn(free, required.perTask, required.taskCount);
        return slots;
    }

    /// Places up to `tasks` tasks in a rack, on the workers with the least free capacity first. Returns the number
    /// placed.
    std::int32_t placeIn(rack_workers& workers, const shape& required, std::int32_t tasks)
    {
        std::sort(workers.begin(), workers.end(), [](const resources& left, const resources& right) {
            return std::tie(left.accelerators, left.millicores, left.memoryMb)
                < std::tie(right.accelerators, right.millicores, right.memoryMb);
        });
        std::int32_t placed = 0;
        for (auto& free : workers) {
            while (placed < tasks && hasCapacityFor(free, required.perTask)) {
                subtract(free, required.perTask);
                ++placed;
            }
        }
        return placed;
    }

    bool placeOnWorker(rack_map& racks, const shape& required)
    {
        // Best fit: choose the worker with the fewest free accelerators that suffices, to avoid fragmenting the others.
        resources* best = nullptr;
        for (auto& [position, workers] : racks) {
            for (auto& free : workers) {
                const bool fits = slotsOn(free, required.perTask, required.taskCount) == required.taskCount;
                if (fits && (!best || free.accelerators < best->accelerators))
                    best = &free;
            }
        }
        for (std::int32_t task = 0; best && task < required.taskCount; ++task)
            subtract(*best, required.perTask);
        return best != nullptr;
    }

    bool placeInRack(rack_map& racks, const shape& required)
    {
        rack_workers* best = nullptr;
        std::int32_t bestSlots = std::numeric_limits<std::int32_t>::max();
        for (auto& [position, workers] : racks) {
            const auto slots = slotsIn(workers, required);
            if (slots >= required.taskCount && slots < bestSlots) {
                best = &workers;
                bestSlots = slots;
            }
        }
        return best && placeIn(*best, required, required.taskCount) == required.taskCount;
    }

    /// Returns the number of consecutive racks from `first` on that fit the shape with at least one task in each;
    /// nothing when the shape does not fit.
    std::optional<std::int32_t> windowFrom(const rack_map& racks, std::int32_t first, const shape& required)
    {
        std::int32_t slots = 0;
        for (std::int32_t length = 1; length <= required.taskCount; ++length) {
            const auto rack = racks.find(first + length - 1);
            const auto here = rack == racks.end() ? 0 : slotsIn(rack->second, required);
            if (here == 0)
                return std::nullopt;
            slots += here;
            if (slots >= required.taskCount)
                return length;
        }
        return std::nullopt;
    }

    bool placeInAdjacentRacks(rack_map& racks, const shape& required)
    {
        // Choose the shortest window of consecutive racks.
        std::optional<std::pair<std::int32_t, std::int32_t>> best;
        for (const auto& [first, workers] : racks) {
            const auto length = windowFrom(racks, first, required);
            if (length && (!best || *length < best->second))
                best = { first, *length };
        }
        if (!best)
            return false;
        // Fill the racks in order, but leave at least one task for each remaining rack of the window.
        const auto [first, length] = *best;
        std::int32_t remaining = required.taskCount;
        for (std::int32_t i = 0; i < length; ++i)
            remaining
                -= placeIn(racks.at(first + i), required, std::min(remaining - (length - 1 - i), required.taskCount));
        return remaining == 0;
    }

    bool placeAnywhere(rack_map& racks, const shape& required)
    {
        std::int32_t remaining = required.taskCount;
        for (auto& [position, workers] : racks)
            remaining -= placeIn(workers, required, remaining);
        return remaining == 0;
    }

    bool place(rack_map& racks, const shape& required)
    {
        switch (required.placement) {
        case adjacency::Worker:
            return placeOnWorker(racks, required);
        case adjacency::Rack:
            return placeInRack(racks, required);
        case adjacency::AdjacentRacks:
            return placeInAdjacentRacks(racks, required);
        case adjacency::Any:
            return placeAnywhere(racks, required);
        }
        return false;
    }

    std::string keyOf(const workspace_config& workspace, const domain_config& domain)
    {
        return "workspace." + workspace.name + ".domain." + domain.name;
    }

    std::vector<guaranteed_shape> shapesOf(const domain_config& domain)
    {
        std::vector<guaranteed_shape> shapes;
        for (const auto& workspace : domain.workspaces) {
            for (std::size_t i = 0; i < workspace.guarantee.size(); ++i)
                shapes.push_back(
                    { workspace.guarantee[i], keyOf(workspace, domain) + ".guarantee." + std::to_string(i) });
        }
        std::stable_sort(shapes.begin(), shapes.end(), [](const guaranteed_shape& left, const guaranteed_shape& right) {
            const auto size = [](const shape& one) { return one.taskCount * one.perTask.accelerators; };
            return std::pair(left.required.placement, size(left.required))
                > std::pair(right.required.placement, size(right.required));
        });
        return shapes;
    }

    void proveShapes(const domain_config& domain, rack_map racks, std::vector<config_problem>& problems)
    {
        for (const auto& [required, key] : shapesOf(domain)) {
            std::int32_t placed = 0;
            while (placed < required.count && place(racks, required))
                ++placed;
            if (placed < required.count)
                problems.push_back({ 0, key + ".count",
                    "0 to " + std::to_string(placed) + " fit beside the other guarantees of " + domain.name });
        }
    }

    void proveQuotas(const domain_config& domain, std::vector<config_problem>& problems)
    {
        for (const auto& workspace : domain.workspaces) {
            if (workspace.maxBorrowedAccelerators < 0)
                continue;
            std::int64_t maxQuota = workspace.maxBorrowedAccelerators;
            for (const auto& part : workspace.guarantee)
                maxQuota += std::int64_t { part.count } * part.taskCount * part.perTask.accelerators;
            for (const auto& quota : workspace.teams) {
                if (quota.maxAccelerators > maxQuota)
                    problems.push_back({ 0, keyOf(workspace, domain) + ".team." + quota.team + ".max_accelerators",
                        "0 to " + std::to_string(maxQuota) + ", the guarantee and what may be borrowed" });
            }
        }
    }

} // namespace

std::vector<config_problem> proveGuarantees(
    const environment_config& environment, std::span<const domain_capacity> capacities)
{
    std::vector<config_problem> problems;
    for (const auto& domain : environment.domains) {
        const auto known = std::find_if(capacities.begin(), capacities.end(),
            [&domain](const domain_capacity& capacity) { return capacity.name == domain.name; });
        proveShapes(domain, known == capacities.end() ? rack_map {} : racksOf(*known), problems);
        proveQuotas(domain, problems);
    }
    return problems;
}

} // namespace chervilport
