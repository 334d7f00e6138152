#include "chervilport/control/worker_clock.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against tasks that are started elsewhere while a worker with a slow clock still holds its lease.
Test(workerClock, leaseEndAllowsForASlowClock)
{
    worker_clock clock;
    const log_time start { 1'000s };
    recordReading(clock, 50'000, start);
    const auto until = grantLease(clock, 10'000ms, start);
    cr_assert_eq(until, 60'000);
    // At a rate of 0.98, ten seconds on the worker's clock take more than 10.2 s locally.
    cr_assert(clock.leaseEnd >= start + 10'204ms);
}

// Guards against a lease that is longer than granted because an old reading replaces a newer one.
Test(workerClock, olderReadingChangesNothing)
{
    worker_clock clock;
    const log_time start { 1'000s };
    recordReading(clock, 50'000, start);
    recordReading(clock, 49'000, start + 2s);
    cr_assert_eq(*clock.readingMs, 50'000);
    cr_assert(clock.readAt == start);
}

// Guards against an end of the lease that moves back when a request grants a shorter lease.
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
