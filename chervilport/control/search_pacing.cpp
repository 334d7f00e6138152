#include "chervilport/control/search_pacing.h"

#include <algorithm>

namespace chervilport {

namespace {

    /// Lateness of a call that is made up for, the tick of the caller.
    constexpr std::chrono::milliseconds maxLateness { 100 };
    constexpr std::chrono::milliseconds shortestPause { 50 };
    /// Longest pause, so that an instance finds the leader within a few seconds whatever their number.
    constexpr std::chrono::milliseconds longestPause { 3'000 };

} // namespace

log_duration searchPauseFor(std::size_t instances)
{
    const auto pause
        = std::chrono::milliseconds(std::chrono::seconds(1)) * static_cast<std::int64_t>(instances) / maxSearchRate;
    return std::clamp(pause, shortestPause, longestPause);
}

bool takeQuestion(search_pacing& search, log_time now)
{
    if (now < search.next)
        return false;
    ++search.questions;
    std::uniform_int_distribution<std::int64_t> percent(50, 150);
    // Questions that were due since the last call stay due, up to one tick of the caller.
    const auto begin = std::max(search.next, now - maxLateness);
    search.next = begin + search.pause * percent(search.random) / 100;
    return true;
}

} // namespace chervilport
