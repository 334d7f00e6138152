#include "chervilport/routing/slot_holder.h"

#include <algorithm>
#include <cassert>

namespace chervilport {

namespace {

    std::int32_t heldOf(const held_slots& slots, log_time now)
    {
        return std::max(now < slots.expiresAt ? slots.granted : 0, slots.inUse);
    }

} // namespace

share_report makeReport(slot_holder& holder, const std::map<std::string, std::int32_t>& demand, log_time now)
{
    share_report report { holder.instance, holder.incarnation, ++holder.sequence, {}, demand };
    holder.reportedAt = now;
    std::erase_if(holder.slots, [&](const auto& entry) { return heldOf(entry.second, now) == 0; });
    for (const auto& [executor, slots] : holder.slots)
        report.held.push_back({ executor, heldOf(slots, now) });
    return report;
}

bool applyGrant(slot_holder& holder, const share_grant& grant)
{
    if (grant.sequence != holder.sequence)
        return false;
    for (auto& [executor, slots] : holder.slots)
        slots.granted = 0;
    for (const auto& share : grant.shares) {
        auto& slots = holder.slots[share.executor];
        slots.granted = share.slots;
        slots.expiresAt = holder.reportedAt + grant.leaseDuration;
    }
    return true;
}

std::int32_t usableSlots(const slot_holder& holder, const upstream_id& executor, log_time now)
{
    const auto found = holder.slots.find(executor);
    return found == holder.slots.end() || now >= found->second.expiresAt ? 0 : found->second.granted;
}

bool acquireSlot(slot_holder& holder, const upstream_id& executor, log_time now)
{
    const auto found = holder.slots.find(executor);
    if (found == holder.slots.end() || found->second.inUse >= usableSlots(holder, executor, now))
        return false;
    ++found->second.inUse;
    return true;
}

void releaseSlot(slot_holder& holder, const upstream_id& executor)
{
    const auto found = holder.slots.find(executor);
    assert(found != holder.slots.end() && found->second.inUse > 0);
    --found->second.inUse;
}

} // namespace chervilport
