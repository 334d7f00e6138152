#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>

namespace chervilport {

/// A member of a replication group.
struct member {
    /// Instance number of the member.
    member_id id {};
    /// Incarnation that was admitted. An instance with a disk keeps its incarnation across restarts. An instance
    /// without a disk gets a new incarnation at each start, and does not vote until it is admitted again.
    std::uint64_t incarnation = 0;
    /// Whether the member syncs entries to a disk before it acknowledges them.
    bool hasDisk = false;
    /// Set on a learner that the leader promotes to voter once it has caught up. Part of the membership so that a new
    /// leader completes the promotion.
    bool promoteWhenCaughtUp = false;

    friend bool operator==(const member&, const member&) = default;
};

} // namespace chervilport
