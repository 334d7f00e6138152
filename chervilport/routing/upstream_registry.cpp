#include "chervilport/routing/upstream_registry.h"

#include <tuple>

namespace chervilport {

namespace {

    auto propertiesOf(const upstream_announcement& announcement)
    {
        return std::tie(announcement.state, announcement.kind, announcement.failureDomain, announcement.service,
            announcement.slots, announcement.connections);
    }

    // Announcements with equal sequence numbers should be equal. If they are not, compares their properties, so that
    // the result does not depend on the order of receipt.
    bool supersedes(const upstream_announcement& next, const upstream_announcement& known)
    {
        return std::tuple(next.id.incarnation, next.sequence, propertiesOf(next))
            > std::tuple(known.id.incarnation, known.sequence, propertiesOf(known));
    }

} // namespace

announcement_effect mergeAnnouncement(upstream_registry& registry, const upstream_announcement& next, log_time now)
{
    // Adds an upstream that is not known yet, unless the registry is full.
    const auto found = registry.entries.find(next.id.address);
    if (found == registry.entries.end()) {
        if (registry.entries.size() >= registry.settings.maxUpstreams)
            return announcement_effect::Refused;
        registry.entries[next.id.address] = { next, now, false };
        return announcement_effect::Appeared;
    }

    // Updates the entry if the announcement is newer; a new incarnation is not drained.
    auto& entry = found->second;
    const auto& known = entry.announcement;
    if (!supersedes(next, known))
        return announcement_effect::Ignored;
    if (next.id.incarnation != known.id.incarnation) {
        entry = { next, now, false };
        return announcement_effect::Appeared;
    }
    const bool isSame = propertiesOf(next) == propertiesOf(known);
    entry.announcement = next;
    entry.receivedAt = now;
    return isSame ? announcement_effect::Renewed : announcement_effect::Changed;
}

void removeAbsent(upstream_registry& registry, log_time now)
{
    std::erase_if(registry.entries,
        [&](const auto& entry) { return now - entry.second.receivedAt > registry.settings.retention; });
}

bool drainUpstream(upstream_registry& registry, std::string_view address)
{
    const auto found = registry.entries.find(address);
    if (found == registry.entries.end())
        return false;
    found->second.isDrained = true;
    return true;
}

bool isPresent(const upstream_registry& registry, const upstream_entry& entry, log_time now)
{
    return entry.announcement.state != upstream_state::Gone && now - entry.receivedAt <= registry.settings.expiry;
}

bool acceptsWork(const upstream_registry& registry, const upstream_entry& entry, log_time now)
{
    return isPresent(registry, entry, now) && entry.announcement.state == upstream_state::Ready && !entry.isDrained;
}

std::vector<const upstream_entry*> findExecutors(
    const upstream_registry& registry, std::string_view service, log_time now)
{
    std::vector<const upstream_entry*> found;
    for (const auto& [address, entry] : registry.entries) {
        const auto& announcement = entry.announcement;
        if (announcement.kind == upstream_kind::Executor && announcement.service == service
            && acceptsWork(registry, entry, now))
            found.push_back(&entry);
    }
    return found;
}

} // namespace chervilport
