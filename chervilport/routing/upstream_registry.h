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
    /// Time after the last news in which an upstream counts as present; three missed announcements of one second each
    /// and some delay.
    log_duration expiry = std::chrono::seconds(4);
    /// Time for which an absent upstream is remembered, so that delayed announcements do not bring it back.
    log_duration retention = std::chrono::minutes(10);
    /// Largest number of upstreams remembered.
    std::size_t maxUpstreams = 4096;
};

/// What is known of one address.
struct upstream_entry {
    /// Newest announcement.
    upstream_announcement announcement;
    /// When it was received.
    log_time receivedAt;
    /// Whether an operator has asked that this life of the upstream receives no new work.
    bool isDrained = false;
};

/// What became of an announcement.
enum class announcement_effect : std::uint8_t {
    /// An older or the same one: nothing changed.
    Ignored,
    /// Presence was renewed; nothing else changed.
    Renewed,
    /// State, slots or another property changed.
    Changed,
    /// The upstream is new or has a new life.
    Appeared,
    /// The registry is full.
    Refused,
};

/// Announcements of all upstreams of a failure domain. Equal announcements received in any order lead to equal entries.
struct upstream_registry {
    /// Limits.
    upstream_registry_settings settings;
    /// Entries by address.
    std::map<std::string, upstream_entry, std::less<>> entries;
};

/// Merges an announcement, received from the upstream itself or from another instance.
announcement_effect mergeAnnouncement(upstream_registry&, const upstream_announcement&, log_time now);

/// Forgets upstreams that have been absent for long. Call it now and then.
void removeAbsent(upstream_registry&, log_time now);

/// Asks that the present life of an upstream receives no new work. Returns false if the address is unknown.
bool drainUpstream(upstream_registry&, std::string_view address);

/// Returns whether the upstream is present: heard of in time and not gone.
bool isPresent(const upstream_registry&, const upstream_entry&, log_time now);

/// Returns whether the upstream may receive new work: present, ready and not drained.
bool acceptsWork(const upstream_registry&, const upstream_entry&, log_time now);

/// Returns the executors of a service that take work, by address.
std::vector<const upstream_entry*> findExecutors(const upstream_registry&, std::string_view service, log_time now);

} // namespace chervilport
