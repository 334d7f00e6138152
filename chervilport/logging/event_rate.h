#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chervilport {

/// Lines of one event in a second at most, on average.
inline constexpr double eventsPerSecond = 200;

/// Lines of one event at once at most.
inline constexpr double eventBurst = 400;

/// Leave to write one line of an event.
struct event_permit {
    /// Lines of the event that were left out since the last one that was written.
    std::uint64_t suppressed = 0;
};

/// Returns a permit, or nothing when the event was written too often lately. Safe on any thread.
std::optional<event_permit> takeEventPermit(std::string_view event, std::chrono::steady_clock::time_point now);

} // namespace chervilport
