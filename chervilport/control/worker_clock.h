#pragma once

#include "chervilport/core/log_time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilport {

/// The clock of a worker and the leases that were granted on it, as the leader knows them.
struct worker_clock {
    /// A reading of the worker's clock in milliseconds.
    std::optional<std::int64_t> readingMs;
    /// Local time at which the reading arrived.
    log_time readAt;
    /// Latest end of a lease that any order named, on the worker's clock.
    std::int64_t grantedUntilMs = 0;
    /// Local time after which every lease has ended.
    log_time leaseEnd;
};

/// Takes a reading that arrived now. An older reading that arrives late changes nothing.
void recordReading(worker_clock&, std::int64_t readingMs, log_time now);

/// Returns the end of a lease of this length on the worker's clock and notes it as granted. Needs a reading.
std::int64_t grantLease(worker_clock&, std::chrono::milliseconds length, log_time now);

/// Returns the time after which a lease of this length has ended on the slowest clock that a worker can have.
log_duration localLeaseTime(std::chrono::milliseconds length);

} // namespace chervilport
