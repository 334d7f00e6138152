#include "chervilport/control/worker_clock.h"

#include <algorithm>
#include <cassert>

namespace chervilport {

namespace {

    /// Lowest rate of a worker's clock relative to the leader's. A slow clock makes a lease last longer than its length
    /// on the leader's clock.
    constexpr double slowestClockRate = 0.98;
    /// Margin added to the end of a lease for rounding and timer delays, in milliseconds.
    constexpr std::int64_t leaseSlackMs = 100;

    std::int64_t elapsedMs(log_time from, log_time to)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
    }
    /// A step back of a worker's clock by more than this, in milliseconds, shows another incarnation; reordered
    /// responses are less apart.
    constexpr std::int64_t clockStepBackMs = 2'000;

} // namespace

void recordReading(worker_clock& clock, std::int64_t readingMs, log_time now)
{
    if (clock.readingMs && readingMs <= *clock.readingMs)
        return;
    clock.readingMs = readingMs;
    clock.readAt = now;
}

log_duration localLeaseTime(std::chrono::milliseconds length)
{
    const auto span = static_cast<double>(length.count()) / slowestClockRate;
    return std::chrono::milliseconds(static_cast<std::int64_t>(span) + leaseSlackMs);
}

bool isOfAnotherIncarnation(const worker_clock& clock, std::int64_t readingMs)
{
    return clock.readingMs && readingMs + clockStepBackMs < *clock.readingMs;
}

void extendLeases(worker_clock& clock, std::chrono::milliseconds maxLength, log_time arrival)
{
    clock.leaseEnd = std::max(clock.leaseEnd, arrival + localLeaseTime(maxLength));
}

std::int64_t grantLease(worker_clock& clock, std::chrono::milliseconds length, log_time now)
{
    assert(clock.readingMs);
    // The worker's clock is at or past the last reading. An estimate that lags behind it makes the lease shorter.
    const auto estimate = *clock.readingMs + elapsedMs(clock.readAt, now);
    const auto until = estimate + length.count();
    clock.grantedUntilMs = std::max(clock.grantedUntilMs, until);
    const auto end = clock.readAt + localLeaseTime(std::chrono::milliseconds(clock.grantedUntilMs - *clock.readingMs));
    clock.leaseEnd = std::max(clock.leaseEnd, end);
    return until;
}

} // namespace chervilport
