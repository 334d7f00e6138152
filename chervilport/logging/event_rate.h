#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chervilport {

/// Maximum average rate of one event, in lines per second.
inline constexpr double eventsPerSecond = 200;

/// Maximum burst of one event, in lines.
inline constexpr double eventBurst = 400;

/// Permission to write one line of an event.
struct event_permit {
    /// Lines of the event that were suppressed since the last written one.
    std::uint64_t suppressed = 0;
};

/// Takes a token from the token bucket of the event. Returns nothing and counts a suppressed line when the bucket is
/// empty. Thread-safe.
std::optional<event_permit> takeEventPermit(std::string_view event, std::chrono::steady_clock::time_point now);

} // namespace chervilport
