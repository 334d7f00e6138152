#include "chervilport/control/progress_observation.h"

#include <chrono>

namespace chervilport {

namespace {

    /// Minimum time and progress of an observation: progress is reported in whole percent.
    constexpr std::chrono::milliseconds minObservation { 300 };
    constexpr std::int64_t minObservedPercent = 10;
    constexpr std::int64_t fullPercent = 100;

} // namespace

std::optional<observed_pace> observeProgress(progress_observation& observation, std::int64_t percent, log_time now)
{
    if (!observation.since) {
        observation = { now, percent };
        return std::nullopt;
    }
    const auto elapsed = now - *observation.since;
    const auto progress = percent - observation.percent;
    if (elapsed < minObservation || progress < minObservedPercent)
        return std::nullopt;
    const auto elapsedMs = std::chrono::duration<double, std::milli>(elapsed).count();
    observation = { now, percent };
    return observed_pace { static_cast<double>(progress) / fullPercent / elapsedMs, percent >= fullPercent };
}

} // namespace chervilport
