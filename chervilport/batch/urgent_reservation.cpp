#include "chervilport/batch/urgent_reservation.h"

#include "chervilport/batch/guaranteed_jobs.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace chervilport::batch {

namespace {

    /// Length of the window of the peak, in milliseconds: a few times the run time of short urgent jobs.
    constexpr std::int64_t windowMs = 12'000;
    /// Factor on the peak, which allows for demand beyond it.
    constexpr double headroom = 1.15;
    /// Minimum and maximum ratio of the workers that are reserved.
    constexpr double minUrgentReservedRatio = 0.08;
    constexpr double maxUrgentReservedRatio = 0.5;
    /// Utilization of every resource below which the pool counts as idle.
    constexpr double idleUtilization = 0.5;

    resource_demand meanCapacity(const worker_slots& slots)
    {
        resource_demand sum;
        std::int64_t count = 0;
        for (const auto& slot : slots) {
            addScaled(sum, slot.worker->report.capacity, 1);
            ++count;
        }
        if (count > 0)
            sum = { sum.milliCores / count, sum.memoryMb / count, sum.accelerators / count };
        return sum;
    }

    double shareOf(std::int64_t amount, std::int64_t capacity)
    {
        return capacity <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(capacity);
    }

    /// Returns the largest share of the demand in the capacity over all resources.
    double dominantShare(const resource_demand& demand, const resource_demand& capacity)
    {
        return std::max({ shareOf(demand.milliCores, capacity.milliCores), shareOf(demand.memoryMb, capacity.memoryMb),
            shareOf(demand.accelerators, capacity.accelerators) });
    }

    /// Returns the mean speed class of the usable workers by rack, in halves of a class.
    std::map<std::string, std::int64_t> rackSlowness(const worker_slots& slots)
    {
        std::map<std::string, std::pair<double, double>> sums;
        for (const auto& slot : slots) {
            auto& [sum, count] = sums[slot.worker->report.rack];
            if (!slot.isUsable)
                continue;
            sum += slot.speedClass;
            count += 1;
        }
        std::map<std::string, std::int64_t> slowness;
        for (const auto& [rack, entry] : sums)
            slowness[rack] = entry.second == 0 ? 0 : std::llround(2 * entry.first / entry.second);
        return slowness;
    }

    std::int64_t unfinishedTasks(const job_record& job, std::size_t step)
    {
        const auto count = static_cast<std::int64_t>(job.request.steps[step].count);
        if (job.occurrences.empty())
            return job.hasStarted ? 0 : count;
        std::int64_t unfinished = 0;
        for (const auto& [number, occurrence] : job.occurrences)
            unfinished += count - static_cast<std::int64_t>(occurrence.steps[step].doneCount);
        return unfinished;
    }

} // namespace

double urgentDemand(const batch_state& state, const worker_slots& slots)
{
    const auto capacity = meanCapacity(slots);
    double sum = 0;
    for (const auto& [id, job] : state.jobs) {
        if (job.phase != job_phase::Active || job.priority != guaranteedPriority || job.request.repeatCount > 0)
            continue;
        for (std::size_t i = 0; i < job.request.steps.size(); ++i)
            sum += dominantShare(chargedDemand(job.request.steps[i]), capacity)
                * static_cast<double>(unfinishedTasks(job, i));
    }
    return sum;
}

bool isMostlyIdle(const worker_slots& slots)
{
    resource_demand used;
    resource_demand capacity;
    for (const auto& slot : slots) {
        if (!slot.isUsable)
            continue;
        addScaled(used, slot.worker->used, 1);
        addScaled(capacity, slot.worker->report.capacity, 1);
    }
    return dominantShare(used, capacity) < idleUtilization;
}

double addDemandSample(urgent_demand_window& window, double workers, std::int64_t nowMs)
{
    auto& samples = window.samples;
    while (!samples.empty() && samples.front().timeMs + windowMs < nowMs)
        samples.pop_front();
    while (!samples.empty() && samples.back().workers <= workers)
        samples.pop_back();
    samples.push_back({ nowMs, workers });
    return samples.front().workers;
}

void reserveForUrgent(worker_slots& slots, double peakWorkers)
{
    // Round the bounds down, so that a site with a single worker reserves none.
    const auto total = static_cast<double>(slots.size());
    const auto minimum = static_cast<std::int64_t>(total * minUrgentReservedRatio);
    const auto maximum = static_cast<std::int64_t>(total * maxUrgentReservedRatio);
    auto remaining = std::clamp(static_cast<std::int64_t>(std::ceil(peakWorkers * headroom)), minimum, maximum);
    // Reserve the workers of fast racks first, and the fast workers of a rack, otherwise in the order of racks and ids.
    const auto slowness = rackSlowness(slots);
    std::vector<std::size_t> order(slots.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    const auto keyOf = [&](std::size_t index) {
        const auto& report = slots[index].worker->report;
        return std::tuple<std::int64_t, std::string_view, std::int32_t, std::string_view> { slowness.at(report.rack),
            report.rack, slots[index].speedClass, report.id };
    };
    std::sort(order.begin(), order.end(),
        [&](std::size_t first, std::size_t second) { return keyOf(first) < keyOf(second); });
    for (const auto each : order) {
        if (remaining <= 0)
            return;
        if (!slots[each].isUsable)
            continue;
        slots[each].reservedForUrgent = true;
        --remaining;
    }
}

} // namespace chervilport::batch
