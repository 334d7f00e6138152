#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilport {

/// What an instance knows of the steady clock of a peer, from the last reading that the peer sent. A call carries the
/// time of its sending on the receiver's clock, so that the receiver can tell how long it was on its way, even if the
/// network held it up.
struct peer_clock {
    /// Clock of the deadlines of calls.
    using clock = std::chrono::steady_clock;

    /// The last reading, in milliseconds of the peer's clock.
    std::optional<std::uint64_t> readingMs;
    /// When it arrived.
    clock::time_point readAt;
};

/// Returns the reading that an instance sends of its own clock, in milliseconds; never 0.
std::uint64_t readOwnClock(peer_clock::clock::time_point now);

/// Records a reading of the peer. A reading of 0, from an earlier version, is ignored.
void recordReading(peer_clock&, std::uint64_t readingMs, peer_clock::clock::time_point now);

/// Returns the time on the peer's clock, in milliseconds, or 0 if it is unknown. The result is behind that clock by the
/// time that the reading was on its way.
std::uint64_t estimateTime(const peer_clock&, peer_clock::clock::time_point now);

/// Returns how long a call was on its way that was sent at this time of the own clock; 0 if the time is unknown.
std::chrono::milliseconds timeOnTheWay(std::uint64_t sentMs, peer_clock::clock::time_point now);

} // namespace chervilport
