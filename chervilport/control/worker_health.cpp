#include "chervilport/control/worker_health.h"

#include <algorithm>

namespace chervilport {

namespace {

    /// Consecutive failures that quarantine a worker; a single failure is mostly the task's own fault.
    constexpr std::uint32_t failuresToQuarantine = 2;
    constexpr std::chrono::milliseconds baseQuarantine { 4'000 };
    constexpr std::uint32_t maxQuarantineDoublings = 2;

} // namespace

bool recordEnd(worker_health& health, batch::run_end_kind kind, log_time now)
{
    if (kind == batch::run_end_kind::Done) {
        health.consecutiveFailures = 0;
        health.quarantines = 0;
        return false;
    }
    if (kind != batch::run_end_kind::Failed)
        return false;
    ++health.consecutiveFailures;
    // The count continues after a quarantine, so a single failure then starts the next one.
    if (health.consecutiveFailures < failuresToQuarantine || now < health.quarantinedUntil)
        return false;
    health.quarantinedUntil = now + baseQuarantine * (1 << std::min(health.quarantines, maxQuarantineDoublings));
    ++health.quarantines;
    return true;
}

bool isHealthy(const worker_health& health, log_time now) { return now >= health.quarantinedUntil; }

std::int32_t failureWeightOf(const worker_health& health)
{
    return static_cast<std::int32_t>(health.consecutiveFailures);
}

} // namespace chervilport
