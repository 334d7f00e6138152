#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace chervilport {

/// How the leader sends entries to a member.
enum class send_mode : std::uint8_t {
    /// The matching position is unknown, or the member does not respond: at most one request with entries in flight.
    Probe,
    /// Requests with entries are sent without waiting for responses, up to `maxInFlightAppends`.
    Pipeline,
    /// A snapshot is in flight.
    Snapshot,
};

/// Replication progress of another member, as tracked by the leader.
struct peer_progress {
    /// Admitted incarnation; messages of other incarnations are not counted.
    std::uint64_t incarnation = 0;
    /// How entries are sent.
    send_mode mode = send_mode::Probe;
    /// Last index known to match the leader's log, synced if the member has a disk.
    std::uint64_t matchIndex = 0;
    /// Next index to send.
    std::uint64_t nextIndex = 1;
    /// In `Probe`, whether a request with entries awaits a response.
    bool probePending = false;
    /// In `Pipeline`, the last index of each request with entries that awaits a response.
    std::deque<std::uint64_t> inFlight;
    /// Local time of the last response, initially the time at which the leader started to track the member.
    log_time lastContact {};
    /// Local start time of the latest heartbeat round that the member responded to, if any.
    std::optional<log_time> supportedSince;
    /// In `Snapshot`, the index of the snapshot sent.
    std::uint64_t snapshotIndex = 0;
    /// In `Snapshot`, the local time at which it was sent.
    log_time snapshotSentAt {};
    /// Newer incarnation that the instance has responded with; it must be admitted again.
    std::optional<std::uint64_t> newerIncarnation;
};

} // namespace chervilport
