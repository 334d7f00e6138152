#include "chervilport/control/worker_health.h"

#include <algorithm>

namespace chervilport {

namespace {

    /// Failures in a row from which a worker is suspected; single failures are mostly the tasks' own.
    constexpr std::uint32_t failuresToQuarantine = 2;
    constexpr std::chrono::milliseconds firstQuarantine { 4'000 };
    constexpr std::uint32_t mostDoublings = 2;

} // namespace

bool noteEnd(worker_health& soundness, batch::run_end_kind kind, log_time now)
{
    if (kind == batch::run_end_kind::Done) {
        soundness.consecutiveFailures = 0;
        soundness.quarantines = 0;
        return false;
    }
    if (kind != batch::run_end_kind::Failed)
        return false;
    ++soundness.consecutiveFailures;
    // After a quarantine a single failure is enough for the next one.
    if (soundness.consecutiveFailures < failuresToQuarantine || now < soundness.quarantinedUntil)
        return false;
    soundness.quarantinedUntil = now + firstQuarantine * (1 << std::min(soundness.quarantines, mostDoublings));
    ++soundness.quarantines;
    return true;
}

bool isHealthy(const worker_health& soundness, log_time now) { return now >= soundness.quarantinedUntil; }

std::int32_t failureWeightOf(const worker_health& soundness)
{
    return static_cast<std::int32_t>(soundness.consecutiveFailures);
}

} // namespace chervilport
