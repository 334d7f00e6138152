#pragma once

#include "chervilport/routing/slot_holder.h"
#include "chervilport/routing/upstream_health.h"
#include "chervilport/routing/upstream_registry.h"

namespace chervilport {

/// What an instance knows of the upstreams of its domain. Owned by the instance, which merges announcements and grants
/// into it, and used by the request path on the same thread.
struct routing_state {
    /// Announcements.
    upstream_registry registry;
    /// Shares of this instance.
    slot_holder slots;
    /// Health of executors as this instance sees it.
    health_table health;
};

} // namespace chervilport
