#include "chervilport/control/worker_clock.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against tasks started elsewhere while a worker whose clock is slow still holds its lease.
Test(workerClock, leaseEndAllowsForASlowClock)
{
    worker_clock clock;
    const log_time start { 1'000s };
    recordReading(clock, 50'000, start);
    const auto until = grantLease(clock, 10'000ms, start);
    cr_assert_eq(until, 60'000);
    // At 0.98 of the rate, ten seconds of the worker take more than 10.2 s here.
    cr_assert(clock.leaseEnd >= start + 10'204ms);
}

// Guards against a lease that is longer than granted because an old reading is taken for a new one.
Test(workerClock, olderReadingChangesNothing)
{
    worker_clock clock;
    const log_time start { 1'000s };
    recordReading(clock, 50'000, start);
    recordReading(clock, 49'000, start + 2s);
    cr_assert_eq(*clock.readingMs, 50'000);
    cr_assert(clock.readAt == start);
}

// Guards against an end of the lease that moves back with a shorter order.
Test(workerClock, leaseEndNeverMovesBack)
{
    worker_clock clock;
    const log_time start { 1'000s };
    recordReading(clock, 50'000, start);
    grantLease(clock, 9'000ms, start);
    const auto end = clock.leaseEnd;
    recordReading(clock, 50'100, start + 100ms);
    grantLease(clock, 1'000ms, start + 100ms);
    cr_assert(clock.leaseEnd >= end - 10ms);
}
