#include "chervilport/scheduling/placement.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <span>
#include <tuple>

namespace chervilport {

namespace {

    using worker_list = std::vector<std::int32_t>;

    struct rack_sum {
        std::int32_t free = 0;
        std::int32_t total = 0;
        std::int32_t freeAccelerators = 0;
    };

    std::vector<rack_sum> sumRacks(const rack_index& racks, const slot_table& slots)
    {
        std::vector<rack_sum> sums(racks.size());
        for (std::size_t i = 0; i < racks.size(); ++i) {
            for (const auto worker : racks[i].workers) {
                sums[i].free += slots.free[worker];
                sums[i].total += slots.total[worker];
                sums[i].freeAccelerators += slots.freeAccelerators[worker];
            }
        }
        return sums;
    }

    /// Fills free slots. Uses the smallest worker that holds all remaining tasks if there is one, else all slots of the
    /// largest worker.
    void fillFree(const worker_list& candidates, const slot_table& slots, std::int32_t count, worker_list& chosen)
    {
        worker_list candidatesLeft;
        for (const auto worker : candidates)
            if (slots.free[worker] > 0)
                candidatesLeft.push_back(worker);
        std::sort(candidatesLeft.begin(), candidatesLeft.end(), [&](std::int32_t a, std::int32_t b) {
            return std::tuple(slots.free[a], slots.freeAccelerators[a], a)
                < std::tuple(slots.free[b], slots.freeAccelerators[b], b);
        });
        while (count > 0 && !candidatesLeft.empty()) {
            auto fit = std::find_if(candidatesLeft.begin(), candidatesLeft.end(),
                [&](std::int32_t worker) { return slots.free[worker] >= count; });
            if (fit == candidatesLeft.end())
                fit = candidatesLeft.end() - 1;
            const auto taken = std::min(count, slots.free[*fit]);
            chosen.insert(chosen.end(), taken, *fit);
            count -= taken;
            candidatesLeft.erase(fit);
        }
    }

    /// Fills slots that must be vacated, the cheapest first. Returns the cost.
    std::int64_t fillVacated(
        const worker_list& candidates, const slot_table& slots, std::int32_t count, worker_list& chosen)
    {
        worker_list candidatesLeft;
        for (const auto worker : candidates)
            if (slots.total[worker] > slots.free[worker])
                candidatesLeft.push_back(worker);
        std::sort(candidatesLeft.begin(), candidatesLeft.end(), [&](std::int32_t a, std::int32_t b) {
            return std::tuple(slots.cost[a], slots.free[a] - slots.total[a], a)
                < std::tuple(slots.cost[b], slots.free[b] - slots.total[b], b);
        });
        std::int64_t cost = 0;
        for (const auto worker : candidatesLeft) {
            const auto taken = std::min(count, slots.total[worker] - slots.free[worker]);
            chosen.insert(chosen.end(), taken, worker);
            cost += slots.cost[worker] * taken;
            count -= taken;
            if (count == 0)
                break;
        }
        return cost;
    }

    struct choice {
        std::int64_t cost = 0;
        worker_list workers;
    };

    /// Fills a set of workers that together hold the gang.
    choice fill(const worker_list& candidates, const slot_table& slots, std::int32_t count)
    {
        choice result;
        std::int32_t free = 0;
        for (const auto worker : candidates)
            free += slots.free[worker];
        fillFree(candidates, slots, std::min(free, count), result.workers);
        if (free < count)
            result.cost = fillVacated(candidates, slots, count - free, result.workers);
        std::sort(result.workers.begin(), result.workers.end());
        return result;
    }

    std::optional<worker_list> placeOnWorker(
        const rack_index& racks, const slot_table& slots, const std::vector<rack_sum>& sums, std::int32_t count)
    {
        auto best = std::tuple(std::numeric_limits<std::int64_t>::max(), 0, 0, -1);
        for (std::size_t i = 0; i < racks.size(); ++i) {
            for (const auto worker : racks[i].workers) {
                if (slots.total[worker] < count)
                    continue;
                const auto vacated = std::max(0, count - slots.free[worker]);
                best = std::min(best,
                    std::tuple(slots.cost[worker] * vacated, slots.freeAccelerators[worker], sums[i].freeAccelerators,
                        worker));
            }
        }
        if (std::get<3>(best) < 0)
            return std::nullopt;
        return worker_list(static_cast<std::size_t>(count), std::get<3>(best));
    }

    std::optional<worker_list> placeInRack(
        const rack_index& racks, const slot_table& slots, const std::vector<rack_sum>& sums, std::int32_t count)
    {
        std::optional<choice> best;
        std::int32_t bestFreeAccelerators = 0;
        for (std::size_t i = 0; i < racks.size(); ++i) {
            if (sums[i].total < count)
                continue;
            if (best && best->cost == 0 && (sums[i].free < count || sums[i].freeAccelerators >= bestFreeAccelerators))
                continue;
            auto candidate = fill(racks[i].workers, slots, count);
            if (best
                && std::tuple(candidate.cost, sums[i].freeAccelerators) >= std::tuple(best->cost, bestFreeAccelerators))
                continue;
            best = std::move(candidate);
            bestFreeAccelerators = sums[i].freeAccelerators;
        }
        if (!best)
            return std::nullopt;
        return best->workers;
    }

    /// Fills a run of adjacent racks, inner ones first, so that no rack between two used ones is skipped.
    choice fillWindow(const rack_index& racks, const slot_table& slots, std::size_t first, std::size_t last,
        std::span<const rack_sum> sums, std::int32_t count)
    {
        choice result;
        for (auto i = first + 1; i < last; ++i) {
            auto part = fill(racks[i].workers, slots, sums[i].total);
            result.cost += part.cost;
            result.workers.insert(result.workers.end(), part.workers.begin(), part.workers.end());
            count -= sums[i].total;
        }
        // The end rack with fewer slots is filled and the other one takes the remaining tasks; each gets at least one.
        const auto fullRack = sums[first].total <= sums[last].total ? first : last;
        const auto otherRack = fullRack == first ? last : first;
        const auto fullRackTasks = std::min(sums[fullRack].total, count - 1);
        for (const auto& [rack, tasks] :
            { std::pair(fullRack, fullRackTasks), std::pair(otherRack, count - fullRackTasks) }) {
            auto part = fill(racks[rack].workers, slots, tasks);
            result.cost += part.cost;
            result.workers.insert(result.workers.end(), part.workers.begin(), part.workers.end());
        }
        std::sort(result.workers.begin(), result.workers.end());
        return result;
    }

    std::optional<worker_list> placeInAdjacentRacks(
        const rack_index& racks, const slot_table& slots, const std::vector<rack_sum>& sums, std::int32_t count)
    {
        std::optional<choice> best;
        auto bestKey = std::tuple(std::int64_t { 0 }, std::size_t { 0 }, 0);
        for (std::size_t first = 0; first < racks.size(); ++first) {
            auto total = sums[first].total;
            auto freeAccelerators = sums[first].freeAccelerators;
            for (auto last = first + 1; last < racks.size(); ++last) {
                if (total >= count || sums[last - 1].total == 0)
                    break;
                if (racks[last].position != racks[last - 1].position + 1)
                    break;
                total += sums[last].total;
                freeAccelerators += sums[last].freeAccelerators;
                if (total < count)
                    continue;
                auto candidate = fillWindow(racks, slots, first, last, sums, count);
                const auto key = std::tuple(candidate.cost, last - first, freeAccelerators);
                if (!best || key < bestKey) {
                    best = std::move(candidate);
                    bestKey = key;
                }
            }
        }
        if (!best)
            return std::nullopt;
        return best->workers;
    }

    std::optional<worker_list> placeAnywhere(
        const rack_index& racks, const slot_table& slots, const std::vector<rack_sum>& sums, std::int32_t count)
    {
        std::int64_t free = 0;
        std::int64_t total = 0;
        for (const auto& sum : sums) {
            free += sum.free;
            total += sum.total;
        }
        if (total < count)
            return std::nullopt;
        if (free < count) {
            worker_list all;
            for (const auto& rack : racks)
                all.insert(all.end(), rack.workers.begin(), rack.workers.end());
            return fill(all, slots, count).workers;
        }
        // Racks are filled in descending order of free slots until one rack holds all remaining tasks.
        std::vector<std::size_t> order(racks.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return std::tuple(sums[a].free, a) < std::tuple(sums[b].free, b); });
        worker_list chosen;
        while (count > 0) {
            auto fit
                = std::find_if(order.begin(), order.end(), [&](std::size_t rack) { return sums[rack].free >= count; });
            if (fit == order.end())
                fit = order.end() - 1;
            const auto taken = std::min(count, sums[*fit].free);
            fillFree(racks[*fit].workers, slots, taken, chosen);
            count -= taken;
            order.erase(fit);
        }
        std::sort(chosen.begin(), chosen.end());
        return chosen;
    }

    bool needsVacating(const slot_table& slots, const worker_list& workers)
    {
        std::int32_t run = 0;
        for (std::size_t i = 0; i < workers.size(); ++i) {
            run = i > 0 && workers[i] == workers[i - 1] ? run + 1 : 1;
            if (run > slots.free[workers[i]])
                return true;
        }
        return false;
    }

} // namespace

std::optional<std::vector<std::int32_t>> placeGang(
    const rack_index& racks, const slot_table& slots, std::int32_t taskCount, adjacency placement)
{
    const auto sums = sumRacks(racks, slots);
    // The closest placement is tried first; a looser one replaces it only if it needs no vacated slots.
    std::optional<worker_list> best = placeOnWorker(racks, slots, sums, taskCount);
    if (placement == adjacency::Worker || (best && !needsVacating(slots, *best)))
        return best;
    auto inRack = placeInRack(racks, slots, sums, taskCount);
    if (inRack && (!best || !needsVacating(slots, *inRack)))
        best = std::move(inRack);
    if (placement == adjacency::Rack || (best && !needsVacating(slots, *best)))
        return best;
    auto loose = placement == adjacency::AdjacentRacks ? placeInAdjacentRacks(racks, slots, sums, taskCount)
                                                       : placeAnywhere(racks, slots, sums, taskCount);
    if (loose && (!best || !needsVacating(slots, *loose)))
        best = std::move(loose);
    return best;
}

} // namespace chervilport
