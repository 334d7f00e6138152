#include "chervilport/control/pass_pacing.h"

#include <algorithm>

namespace chervilport {

namespace {

    /// Shortest pause: changes that arrive together are handled by one pass.
    constexpr std::chrono::milliseconds minPause { 4 };
    /// Longest pause, a small part of the time in which an urgent job has to start.
    constexpr std::chrono::milliseconds maxPause { 100 };
    /// Pause as a multiple of the time of the pass; with 4, passes take at most a fifth of the time.
    constexpr int pausePerPassTime = 4;

} // namespace

log_duration passPauseAfter(log_duration passTime)
{
    return std::clamp<log_duration>(pausePerPassTime * passTime, minPause, maxPause);
}

} // namespace chervilport
