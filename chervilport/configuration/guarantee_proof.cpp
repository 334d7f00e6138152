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

    /// A guaranteed shape and where it is written.
    struct wanted_shape {
        shape wanted;
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

    bool takes(const resources& free, const resources& demand)
    {
        return free.accelerators >= demand.accelerators && free.millicores >= demand.millicores
            && free.memoryMb >= demand.memoryMb;
    }

    void take(resources& free, const resources& demand)
    {
        free.accelerators -= demand.accelerators;
        free.millicores -= demand.millicores;
        free.memoryMb -= demand.memoryMb;
    }

    /// Tasks that still fit on a worker, at most `limit`.
    std::int32_t slotsOn(resources free, const resources& demand, std::int32_t limit)
    {
        std::int32_t slots = 0;
        while (slots < limit && takes(free, demand)) {
            take(free, demand);
            ++slots;
        }
        return slots;
    }

    std::int32_t slotsIn(const rack_workers& workers, const shape& wanted)
    {
        std::int32_t slots = 0;
        for (const auto& free : workers)
            slots += slotsOn(free, wanted.perTask, wanted.taskCount);
        return slots;
    }

    /// Places up to `tasks` tasks in a rack, on the fullest workers first. Returns how many were placed.
    std::int32_t placeIn(rack_workers& workers, const shape& wanted, std::int32_t tasks)
    {
        std::sort(workers.begin(), workers.end(), [](const resources& left, const resources& right) {
            return std::tie(left.accelerators, left.millicores, left.memoryMb)
                < std::tie(right.accelerators, right.millicores, right.memoryMb);
        });
        std::int32_t placed = 0;
        for (auto& free : workers) {
            while (placed < tasks && takes(free, wanted.perTask)) {
                take(free, wanted.perTask);
                ++placed;
            }
        }
        return placed;
    }

    bool placeOnWorker(rack_map& racks, const shape& wanted)
    {
        // The worker with the least room that is enough keeps the others whole.
        resources* best = nullptr;
        for (auto& [position, workers] : racks) {
            for (auto& free : workers) {
                const bool fits = slotsOn(free, wanted.perTask, wanted.taskCount) == wanted.taskCount;
                if (fits && (!best || free.accelerators < best->accelerators))
                    best = &free;
            }
        }
        for (std::int32_t task = 0; best && task < wanted.taskCount; ++task)
            take(*best, wanted.perTask);
        return best != nullptr;
    }

    bool placeInRack(rack_map& racks, const shape& wanted)
    {
        rack_workers* best = nullptr;
        std::int32_t bestSlots = std::numeric_limits<std::int32_t>::max();
        for (auto& [position, workers] : racks) {
            const auto slots = slotsIn(workers, wanted);
            if (slots >= wanted.taskCount && slots < bestSlots) {
                best = &workers;
                bestSlots = slots;
            }
        }
        return best && placeIn(*best, wanted, wanted.taskCount) == wanted.taskCount;
    }

    /// Number of consecutive racks from `first` on that hold the shape with a task in each, if any.
    std::optional<std::int32_t> windowFrom(const rack_map& racks, std::int32_t first, const shape& wanted)
    {
        std::int32_t slots = 0;
        for (std::int32_t length = 1; length <= wanted.taskCount; ++length) {
            const auto rack = racks.find(first + length - 1);
            const auto here = rack == racks.end() ? 0 : slotsIn(rack->second, wanted);
            if (here == 0)
                return std::nullopt;
            slots += here;
            if (slots >= wanted.taskCount)
                return length;
        }
        return std::nullopt;
    }

    bool placeInAdjacentRacks(rack_map& racks, const shape& wanted)
    {
        std::optional<std::pair<std::int32_t, std::int32_t>> best;
        for (const auto& [first, workers] : racks) {
            const auto length = windowFrom(racks, first, wanted);
            if (length && (!best || *length < best->second))
                best = { first, *length };
        }
        if (!best)
            return false;
        const auto [first, length] = *best;
        std::int32_t left = wanted.taskCount;
        for (std::int32_t i = 0; i < length; ++i)
            left -= placeIn(racks.at(first + i), wanted, std::min(left - (length - 1 - i), wanted.taskCount));
        return left == 0;
    }

    bool placeAnywhere(rack_map& racks, const shape& wanted)
    {
        std::int32_t left = wanted.taskCount;
        for (auto& [position, workers] : racks)
            left -= placeIn(workers, wanted, left);
        return left == 0;
    }

    bool place(rack_map& racks, const shape& wanted)
    {
        switch (wanted.placement) {
        case adjacency::Worker:
            return placeOnWorker(racks, wanted);
        case adjacency::Rack:
            return placeInRack(racks, wanted);
        case adjacency::AdjacentRacks:
            return placeInAdjacentRacks(racks, wanted);
        case adjacency::Any:
            return placeAnywhere(racks, wanted);
        }
        return false;
    }

    std::string keyOf(const workspace_config& workspace, const domain_config& domain)
    {
        return "workspace." + workspace.name + ".domain." + domain.name;
    }

    std::vector<wanted_shape> shapesOf(const domain_config& domain)
    {
        std::vector<wanted_shape> shapes;
        for (const auto& workspace : domain.workspaces) {
            for (std::size_t i = 0; i < workspace.guarantee.size(); ++i)
                shapes.push_back(
                    { workspace.guarantee[i], keyOf(workspace, domain) + ".guarantee." + std::to_string(i) });
        }
        std::stable_sort(shapes.begin(), shapes.end(), [](const wanted_shape& left, const wanted_shape& right) {
            const auto size = [](const shape& one) { return one.taskCount * one.perTask.accelerators; };
            return std::pair(left.wanted.placement, size(left.wanted))
                > std::pair(right.wanted.placement, size(right.wanted));
        });
        return shapes;
    }

    void proveShapes(const domain_config& domain, rack_map racks, std::vector<config_problem>& problems)
    {
        for (const auto& [wanted, key] : shapesOf(domain)) {
            std::int32_t placed = 0;
            while (placed < wanted.count && place(racks, wanted))
                ++placed;
            if (placed < wanted.count)
                problems.push_back({ 0, key + ".count",
                    "0 to " + std::to_string(placed) + " fit beside the other guarantees of " + domain.name });
        }
    }

    void proveQuotas(const domain_config& domain, std::vector<config_problem>& problems)
    {
        for (const auto& workspace : domain.workspaces) {
            if (workspace.maxBorrowedAccelerators < 0)
                continue;
            std::int64_t largest = workspace.maxBorrowedAccelerators;
            for (const auto& part : workspace.guarantee)
                largest += std::int64_t { part.count } * part.taskCount * part.perTask.accelerators;
            for (const auto& quota : workspace.teams) {
                if (quota.maxAccelerators > largest)
                    problems.push_back({ 0, keyOf(workspace, domain) + ".team." + quota.team + ".max_accelerators",
                        "0 to " + std::to_string(largest) + ", the guarantee and what may be borrowed" });
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
