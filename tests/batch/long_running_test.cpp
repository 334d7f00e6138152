#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <functional>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

constexpr std::int64_t passMs = 50;
/// Time within which a long-running task must run again, as the users state it: it may miss 3 s from 6 s on.
constexpr std::int64_t restartBoundMs = 9'000;

step_spec longRunningStep()
{
    auto step = stepOf(1, 1);
    step.longRunning = true;
    return step;
}

/// Runs passes until the job has a run, and returns whether it has one within the bound. `eachPass` runs before each.
bool isRestartedInTime(fake_site& site, const std::string& job, const std::function<void(std::int64_t)>& eachPass)
{
    for (std::int64_t now = 0; now < restartBoundMs; now += passMs) {
        eachPass(now);
        site.pass();
        if (!site.activeRuns(job).empty())
            return true;
        site.advance(passMs);
    }
    return false;
}

} // namespace

// Guards against a long-running task that is not started again after a failure while idle workers are reserved for
// urgent jobs, which come every few seconds.
Test(longRunning, failedTaskIsStartedAgainOnReservedWorkers)
{
    constexpr std::int64_t urgentIntervalMs = 5'000;
    fake_site site;
    site.addWorkers(8);
    const auto lasting = site.submit(normalQueue, { longRunningStep() });
    site.pass();
    // The peak of urgent work reserves half of the workers, and long tasks fill the other half.
    auto urgent = site.submit(urgentQueue, { stepOf(4, 7) });
    site.pass();
    site.endAll(urgent, run_end_kind::Done);
    const auto filling = site.submit(normalQueue, { stepOf(8, 8) });
    site.pass();
    cr_assert_eq(site.activeRuns(filling).size(), 4);
    site.advance(1'000);
    site.endAll(lasting, run_end_kind::Failed);
    cr_assert(isRestartedInTime(site, lasting, [&](std::int64_t now) {
        if (now % urgentIntervalMs != 0)
            return;
        urgent = site.submit(urgentQueue, { stepOf(4, 7) });
        site.pass();
        site.endAll(urgent, run_end_kind::Done);
    }));
    cr_assert(isWithinCapacity(site.state()));
}

// Guards against a long-running task that waits for as long as a gang waits: the gang reserves all workers with free
// capacity, and cannot start.
Test(longRunning, failedTaskIsStartedAgainBesideAWaitingGang)
{
    fake_site site;
    site.addWorkers(4, 4);
    const auto lasting = site.submit(backgroundQueue, { longRunningStep() });
    site.pass();
    const auto filling = site.submit(normalQueue, { stepOf(3, 8) });
    site.pass();
    cr_assert_eq(site.activeRuns(filling).size(), 3);
    site.advance(20'000);
    site.endAll(lasting, run_end_kind::Failed);
    auto gang = gangStep(1, 8);
    gang.estimateMs = 600'000;
    gang.demand.memoryMb = 255'500;
    site.submit(normalQueue, { gang });
    cr_assert(isRestartedInTime(site, lasting, [](std::int64_t) {}));
}
