#include "chervilport/batch/urgent_reservation.h"

#include "chervilport/batch/guaranteed_jobs.h"

#include <algorithm>
#include <cmath>
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

    bool isOf(const worker_slot& slot, std::string_view service) { return slot.worker->report.service == service; }

    resource_demand meanCapacity(const worker_slots& slots, std::string_view service)
    {
        resource_demand sum;
        std::int64_t count = 0;
        for (const auto& slot : slots) {
            if (!isOf(slot, service))
                continue;
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

    /// Returns the mean speed class of the usable workers of a service by rack number, in halves of a class.
    std::vector<std::int64_t> rackSlowness(const worker_slots& slots, std::string_view service)
    {
        std::vector<std::pair<double, double>> sums(countRacks(slots));
        for (const auto& slot : slots) {
            if (!slot.isUsable || !isOf(slot, service))
                continue;
            sums[slot.rackNumber].first += slot.speedClass;
            sums[slot.rackNumber].second += 1;
        }
        std::vector<std::int64_t> slowness;
        slowness.reserve(sums.size());
        for (const auto& [sum, count] : sums)
            slowness.push_back(count == 0 ? 0 : std::llround(2 * sum / count));
        return slowness;
    }

    /// A usable worker in the order of the reservation: the workers of fast racks first, and the fast workers of a
    /// rack, otherwise in the order of racks and ids.
    struct reservation_order {
        std::int64_t rackSlowness = 0;
        std::uint32_t rackNumber = 0;
        std::int32_t speedClass = 0;
        std::string_view id;
        std::size_t slot = 0;
    };

    bool isBefore(const reservation_order& left, const reservation_order& right)
    {
        return std::tie(left.rackSlowness, left.rackNumber, left.speedClass, left.id)
            < std::tie(right.rackSlowness, right.rackNumber, right.speedClass, right.id);
    }

    std::vector<reservation_order> orderUsableWorkers(const worker_slots& slots, std::string_view service)
    {
        const auto slowness = rackSlowness(slots, service);
        std::vector<reservation_order> order;
        order.reserve(slots.size());
        for (std::size_t i = 0; i < slots.size(); ++i) {
            const auto& slot = slots[i];
            if (slot.isUsable && isOf(slot, service))
                order.push_back(
                    { slowness[slot.rackNumber], slot.rackNumber, slot.speedClass, slot.worker->report.id, i });
        }
        return order;
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

double urgentDemand(const batch_state& state, const worker_slots& slots, std::string_view service)
{
    const auto capacity = meanCapacity(slots, service);
    double sum = 0;
    for (const auto& [id, job] : state.jobs) {
        const bool isUrgent = job.queue.priority == guaranteedPriority && job.queue.service == service;
        if (job.phase != job_phase::Active || !isUrgent || job.request.repeatCount > 0)
            continue;
        for (std::size_t i = 0; i < job.request.steps.size(); ++i)
            sum += dominantShare(chargedDemand(job.request.steps[i]), capacity)
                * static_cast<double>(unfinishedTasks(job, i));
    }
    return sum;
}

bool isMostlyIdle(const worker_slots& slots, std::string_view service)
{
    resource_demand used;
    resource_demand capacity;
    for (const auto& slot : slots) {
        if (!slot.isUsable || !isOf(slot, service))
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

void reserveForUrgent(worker_slots& slots, std::string_view service, double peakWorkers)
{
    // Round the bounds down, so that a pool of a single worker reserves none.
    const auto total = static_cast<double>(
        std::count_if(slots.begin(), slots.end(), [&](const worker_slot& slot) { return isOf(slot, service); }));
    const auto minimum = static_cast<std::int64_t>(total * minUrgentReservedRatio);
    const auto maximum = static_cast<std::int64_t>(total * maxUrgentReservedRatio);
    const auto wanted = std::clamp(static_cast<std::int64_t>(std::ceil(peakWorkers * headroom)), minimum, maximum);
    auto order = orderUsableWorkers(slots, service);
    const auto count = std::min(order.size(), static_cast<std::size_t>(wanted));
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), end, order.end(), isBefore);
    for (auto each = order.begin(); each != end; ++each)
        slots[each->slot].reservedForUrgent = true;
}

} // namespace chervilport::batch
