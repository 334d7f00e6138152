#pragma once

#include "chervilport/routing/slot_holder.h"
#include "chervilport/routing/upstream_health.h"
#include "chervilport/routing/upstream_registry.h"

namespace chervilport {

/// State of the upstreams of the failure domain, as seen by one instance. Owned by the instance, which merges
/// announcements and grants into it, and used by the request path on the same thread.
struct routing_state {
    /// Announced upstreams.
    upstream_registry registry;
    /// Slot shares of this instance.
    slot_holder slots;
    /// Health of executors, derived from the attempts of this instance.
    health_table health;
};

} // namespace chervilport
