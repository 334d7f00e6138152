#pragma once

#include "chervilport/core/log_time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilport {

/// The clock of a worker and the leases granted on it, as seen by the leader.
struct worker_clock {
    /// Newest reading of the worker's clock in milliseconds.
    std::optional<std::int64_t> readingMs;
    /// Local time at which the reading arrived.
    log_time readAt;
    /// Latest end of a lease in any request, in milliseconds on the worker's clock.
    std::int64_t grantedUntilMs = 0;
    /// Local time after which every granted lease has expired.
    log_time leaseEnd;
};

/// Records a reading that arrived at `now`. A reading that is not newer than the recorded one changes nothing.
void recordReading(worker_clock&, std::int64_t readingMs, log_time now);

/// Returns whether a reading is so far behind the recorded one that another incarnation of the worker took it.
bool isOfAnotherIncarnation(const worker_clock&, std::int64_t readingMs);

/// Grants a lease of this length and returns its end in milliseconds on the worker's clock. Requires a reading.
std::int64_t grantLease(worker_clock&, std::chrono::milliseconds length, log_time now);

/// Extends the recorded end of the leases for a request that granted one and may have reached another incarnation of
/// the worker by `arrival`. On the clock of that incarnation the lease lasts for at most `maxLength` from its arrival.
void extendLeases(worker_clock&, std::chrono::milliseconds maxLength, log_time arrival);

/// Returns the local time after which a lease of this length has expired even on the slowest clock of a worker.
log_duration localLeaseTime(std::chrono::milliseconds length);

} // namespace chervilport
