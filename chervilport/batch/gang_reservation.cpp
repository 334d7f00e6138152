#include "chervilport/batch/gang_reservation.h"

#include <algorithm>
#include <vector>

namespace chervilport::batch {

namespace {

    /// Maximum ratio of the available workers that a pass reserves for waiting gangs.
    constexpr double maxGangReservedRatio = 0.3;

    /// Workers of one rack, or of any rack, that have the capacity for the gang once they are empty.
    struct reservation_candidate {
        std::vector<std::size_t> slots;
        std::int64_t freeAccelerators = 0;
    };

    /// Returns the number of tasks that fit on the worker when it is empty.
    std::int64_t tasksOn(const worker_slot& slot, const resource_demand& demand)
    {
        const auto& capacity = slot.worker->report.capacity;
        const auto fit
            = [](std::int64_t freeCapacity, std::int64_t need) { return need <= 0 ? INT64_MAX : freeCapacity / need; };
        return std::min({ fit(capacity.milliCores, demand.milliCores), fit(capacity.memoryMb, demand.memoryMb),
            fit(capacity.accelerators, demand.accelerators) });
    }

    /// Returns the workers with the most free accelerators that together have the capacity for all tasks; an empty
    /// candidate when there are too few.
    reservation_candidate chooseEmptiest(
        const worker_slots& slots, std::vector<std::size_t> candidates, const ready_step& ready)
    {
        const auto demand = chargedDemand(specOf(ready));
        std::stable_sort(candidates.begin(), candidates.end(), [&](std::size_t left, std::size_t right) {
            return slots[left].free.accelerators > slots[right].free.accelerators;
        });
        reservation_candidate choice;
        auto remaining = static_cast<std::int64_t>(ready.tasks.size());
        for (const auto each : candidates) {
            if (remaining <= 0)
                break;
            const auto tasks = tasksOn(slots[each], demand);
            if (tasks <= 0)
                continue;
            remaining -= std::min(remaining, tasks);
            choice.slots.push_back(each);
            choice.freeAccelerators += slots[each].free.accelerators;
        }
        return remaining > 0 ? reservation_candidate {} : choice;
    }

} // namespace

gang_reservation_budget makeGangReservationBudget(const worker_slots& slots)
{
    const auto availableCount = std::count_if(
        slots.begin(), slots.end(), [](const worker_slot& slot) { return slot.isUsable && !slot.reservedForUrgent; });
    return { static_cast<std::size_t>(static_cast<double>(availableCount) * maxGangReservedRatio) };
}

void reserveForGang(
    worker_slots& slots, const ready_step& ready, const std::string& service, gang_reservation_budget& budget)
{
    const auto& spec = specOf(ready);
    // Group the eligible workers by rack; all are one group when the gang may be spread.
    std::vector<std::vector<std::size_t>> byRack(spec.rackLocal ? countRacks(slots) : 1);
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const auto& slot = slots[i];
        if (!slot.isUsable || !slot.reservedFor.empty() || !slot.isolatedFor.empty()
            || !isEligible(slot, ready, service))
            continue;
        if (!spec.dataRack.empty() && slot.worker->report.rack != spec.dataRack)
            continue;
        byRack[spec.rackLocal ? slot.rackNumber : 0].push_back(i);
    }
    // Choose the group whose workers have the most free accelerators.
    reservation_candidate best;
    for (auto& candidates : byRack) {
        auto choice = chooseEmptiest(slots, std::move(candidates), ready);
        if (!choice.slots.empty() && (best.slots.empty() || choice.freeAccelerators > best.freeAccelerators))
            best = std::move(choice);
    }
    if (best.slots.empty() || best.slots.size() > budget.workers)
        return;
    // Reserve them.
    budget.workers -= best.slots.size();
    for (const auto each : best.slots)
        slots[each].reservedFor = ready.job->request.id;
}

} // namespace chervilport::batch
