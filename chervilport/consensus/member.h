#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>

namespace chervilport {

/// A member of a replication group.
struct member {
    /// The instance.
    member_id id {};
    /// Incarnation that was admitted. An instance with a disk keeps its incarnation across restarts; one without a disk
    /// has a new one after each start, and is no voter until it is admitted again.
    std::uint64_t incarnation = 0;
    /// Whether the member syncs entries to a disk before it acknowledges them.
    bool hasDisk = false;
    /// Set on a learner that the leader makes a voter as soon as it has caught up. Part of the membership so that a new
    /// leader finishes what its predecessor started.
    bool promoteWhenCaughtUp = false;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace chervilport
