#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/membership.h"
#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>

namespace chervilport {

/// Parameters of a replica. Times are of the local monotonic clock.
struct replica_config {
    /// This member.
    member self;
    /// Membership at the first start of the group; used only when storage holds none and it lists `self` with the same
    /// incarnation. Empty for a member that joins.
    membership initial;
    /// Time between heartbeats of the leader.
    log_duration heartbeat { std::chrono::milliseconds(300) };
    /// Shortest time without a leader before an election; the longest is 1.5 times that.
    log_duration electionTimeout { std::chrono::milliseconds(1000) };
    /// Largest difference between the clock rates of two members, in thousandths.
    std::int32_t clockRateMargin = 10;
    /// Payload bytes of one `append_request` at most, but always at least one entry.
    std::size_t maxAppendBytes = std::size_t { 64 } * 1024;
    /// `append_request` with entries sent to one member without an answer at most.
    std::size_t maxInflightAppends = 8;
    /// Entries kept after a snapshot so that a slow follower does not need it.
    std::uint64_t retainedEntries = 256;
    /// Seed of the randomized election timeouts.
    std::uint64_t seed = 0;
};

} // namespace chervilport
