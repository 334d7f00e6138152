#include "chervilport/scheduling/reservations.h"

#include "chervilport/scheduling/capacity_view.h"
#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/placement.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace chervilport {

std::vector<expected_release> expectedReleases(const schedule_state& state)
{
    std::vector<expected_release> releases;
    for (const auto& [id, job] : state.jobs) {
        if (job.tasks.empty())
            continue;
        const auto remaining
            = job.state == job_state::Stopping ? state.configuration.policy.stopTimeout : remainingRunTime(state, job);
        for (const auto& task : job.tasks)
            if (task.phase != task_phase::Ended)
                releases.push_back({ state.now + remaining, id, task.worker, job.spec.perTask });
    }
    std::sort(releases.begin(), releases.end(), [](const expected_release& a, const expected_release& b) {
        return std::tuple(a.at, a.job, a.worker) < std::tuple(b.at, b.job, b.worker);
    });
    return releases;
}

std::optional<reservation> earliestPlaces(
    const schedule_state& state, const job_record& job, std::span<const expected_release> releases)
{
    const auto freeCapacity = freeCapacityFor(state, job);
    const auto allowance = job.spec.preemptible
        ? std::vector<resources>()
        : nonPreemptibleAllowance(state, workspaceIndex(state, job.spec.workspace));
    const auto placesAfter = [&](std::size_t count) {
        auto later = freeCapacity;
        for (std::size_t i = 0; i < count; ++i) {
            const auto worker = releases[i].worker;
            if (isPlaceable(state.workers[worker]) && !avoids(state, job, state.workers[worker]))
                later[worker] = later[worker] + releases[i].amount;
        }
        for (std::size_t i = 0; i < allowance.size(); ++i)
            later[i] = minOf(later[i], allowance[i]);
        return placeGang(state.racks, slotsFor(job, later), job.spec.taskCount, job.spec.placement);
    };

    // Every end adds free capacity, so the smallest sufficient number of ends is found by bisection.
    auto best = placesAfter(releases.size());
    if (!best)
        return std::nullopt;
    std::size_t low = 0;
    std::size_t high = releases.size();
    while (low < high) {
        const auto middle = low + (high - low) / 2;
        if (auto places = placesAfter(middle)) {
            best = std::move(places);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    const auto at = high == 0 ? state.now : releases[high - 1].at;
    return reservation { std::move(*best), state.now, at, false };
}

void dropInvalidReservations(schedule_state& state)
{
    std::erase_if(state.reservations, [&](const auto& entry) {
        const auto job = state.jobs.find(entry.first);
        if (job == state.jobs.end() || job->second.state != job_state::Queued)
            return true;
        return std::any_of(entry.second.workers.begin(), entry.second.workers.end(),
            [&](std::int32_t worker) { return !isPlaceable(state.workers[worker]); });
    });
}

void updateReservationsOnStart(schedule_state& state, const job_record& job, std::span<const std::int32_t> workers)
{
    const auto demands = demandByWorker(job, workers);
    for (auto entry = state.reservations.begin(); entry != state.reservations.end();) {
        auto& reserved = entry->second;
        const auto& owner = state.jobs.at(entry->first);
        const auto taken = std::any_of(demands.begin(), demands.end(), [&](const auto& demand) {
            const auto& worker = state.workers[demand.first];
            const auto count = std::count(reserved.workers.begin(), reserved.workers.end(), demand.first);
            const auto reservedAmount = owner.spec.perTask * static_cast<std::int32_t>(count);
            return count > 0 && !fits(demand.second + reservedAmount, worker.capacity - worker.used);
        });
        if (!taken || owner.id == job.id) {
            ++entry;
        } else if (mayOvertake(state, job, owner)) {
            entry = state.reservations.erase(entry);
        } else {
            reserved.backfilled.push_back(job.id);
            ++entry;
        }
    }
}

bool arePlacesFree(const schedule_state& state, const job_record& job, std::span<const std::int32_t> workers)
{
    const auto demands = demandByWorker(job, workers);
    return std::all_of(demands.begin(), demands.end(), [&](const auto& entry) {
        const auto& worker = state.workers[entry.first];
        return fits(entry.second, worker.capacity - worker.used);
    });
}

} // namespace chervilport
