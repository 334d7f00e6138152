#include "chervilport/batch/worker_slot.h"

#include <algorithm>
#include <map>
#include <utility>

namespace chervilport::batch {

namespace {

    bool hasLabel(const worker_report& report, const std::string& label)
    {
        return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
    }

} // namespace

std::uint32_t countRacks(const worker_slots& slots)
{
    std::uint32_t count = 0;
    for (const auto& slot : slots)
        count = std::max(count, slot.rackNumber + 1);
    return count;
}

void numberRacks(worker_slots& slots)
{
    std::map<std::string_view, std::uint32_t> numbers;
    for (const auto& slot : slots)
        numbers.emplace(slot.worker->report.rack, 0);
    std::uint32_t next = 0;
    for (auto& [rack, number] : numbers)
        number = next++;
    for (auto& slot : slots)
        slot.rackNumber = numbers.at(slot.worker->report.rack);
}

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

bool isSuitable(const worker_report& report, std::string_view service, const step_spec& spec)
{
    return report.service == service && (spec.requiredLabel.empty() || hasLabel(report, spec.requiredLabel));
}

bool isEligible(const worker_slot& slot, const ready_step& ready, const std::string& service)
{
    if (slot.reservedForUrgent && !ready.mayUseUrgentReservation)
        return false;
    return isSuitable(slot.worker->report, service, specOf(ready));
}

} // namespace chervilport::batch
