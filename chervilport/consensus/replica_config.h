#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/membership.h"
#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>

namespace chervilport {

/// Parameters of a replica. Durations refer to the local monotonic clock.
struct replica_config {
    /// This member.
    member self;
    /// Membership at the first start of the group. Used only when storage has none and this one lists `self` with the
    /// same incarnation. Empty for a member that joins later.
    membership initialMembership;
    /// Time between heartbeats of the leader.
    log_duration heartbeatInterval { std::chrono::milliseconds(300) };
    /// Minimum time without contact from a leader before an election starts; the maximum is 1.5 times as long.
    log_duration electionTimeout { std::chrono::milliseconds(1000) };
    /// Maximum difference between the clock rates of two members, in thousandths.
    std::int32_t clockRateMargin = 10;
    /// Maximum payload bytes of one `append_request`. A larger entry is sent alone.
    std::size_t maxAppendBytes = std::size_t { 64 } * 1024;
    /// Maximum number of requests with entries sent to one member without a response.
    std::size_t maxInFlightAppends = 8;
    /// Number of entries that a snapshot covers but the log keeps, so that a slow follower does not need the snapshot.
    std::uint64_t retainedEntries = 256;
    /// Seed of the generator of randomized election timeouts.
    std::uint64_t seed = 0;
};

} // namespace chervilport
