#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/routing/upstream_announcement.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Limits of a registry.
struct upstream_registry_settings {
    /// Time after its last announcement for which an upstream counts as present. Upstreams announce themselves every
    /// second, so this allows for three lost announcements and some delay.
    log_duration expiry = std::chrono::seconds(4);
    /// Time for which the entry of an absent upstream is kept, so that delayed announcements do not make it present
    /// again.
    log_duration retention = std::chrono::minutes(10);
    /// Largest number of entries.
    std::size_t maxUpstreams = 4096;
};

/// Upstream at one address.
struct upstream_entry {
    /// Newest announcement.
    upstream_announcement announcement;
    /// Time of receipt of that announcement.
    log_time receivedAt;
    /// Whether an operator has drained this incarnation of the upstream: it receives no new work.
    bool isDrained = false;
};

/// Effect of merging an announcement.
enum class announcement_effect : std::uint8_t {
    /// The announcement is not newer than the known one; nothing changed.
    Ignored,
    /// The time of receipt was updated; nothing else changed.
    Renewed,
    /// State, slots or another property changed.
    Changed,
    /// The upstream is new or has a new incarnation.
    Appeared,
    /// The registry is full.
    Refused,
};

/// Announcements of all upstreams of a failure domain. The same announcements lead to the same entries in any order.
struct upstream_registry {
    /// Limits.
    upstream_registry_settings settings;
    /// Entries by address.
    std::map<std::string, upstream_entry, std::less<>> entries;
};

/// Merges an announcement, received from the upstream itself or from another instance.
announcement_effect mergeAnnouncement(upstream_registry&, const upstream_announcement&, log_time now);

/// Removes upstreams that have been absent for longer than the retention. Must be called periodically.
void removeAbsent(upstream_registry&, log_time now);

/// Drains the present incarnation of an upstream: it receives no new work. Returns false if the address is unknown.
bool drainUpstream(upstream_registry&, std::string_view address);

/// Returns whether the upstream is present: announced within the expiry time and not in the state Gone.
bool isPresent(const upstream_registry&, const upstream_entry&, log_time now);

/// Returns whether the upstream may receive new work: present, ready and not drained.
bool acceptsWork(const upstream_registry&, const upstream_entry&, log_time now);

/// Returns the executors of a service that accept new work, ordered by address. The pointers are valid until the
/// registry changes.
std::vector<const upstream_entry*> findExecutors(const upstream_registry&, std::string_view service, log_time now);

} // namespace chervilport
