#include "chervilport/control/wait_log.h"
#include "chervilport/metrics/metric_registry.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

std::vector<batch::waiting_step> waitOf(std::int64_t ageMs)
{
    batch::waiting_step step;
    step.job = "job1";
    step.tasks = 4;
    step.ageMs = ageMs;
    return { step };
}

std::int64_t nextAfter(wait_log& log, std::int64_t ageMs, metric_registry& metrics)
{
    logWaits(log, waitOf(ageMs), metrics);
    return log.nextMs.at("job1");
}

} // namespace

// Guards against a line for each pass while a job waits: passes come many times a second.
Test(waitLog, linesOfOneJobComeAtDoubledAges)
{
    metric_registry metrics;
    wait_log log;
    cr_assert_eq(nextAfter(log, 200, metrics), 1'000);
    cr_assert_eq(nextAfter(log, 1'050, metrics), 2'100);
    cr_assert_eq(nextAfter(log, 1'100, metrics), 2'100);
    cr_assert_eq(nextAfter(log, 2'100, metrics), 4'200);
}

// Guards against a table that grows with every job that ever waited.
Test(waitLog, jobsThatNoLongerWaitAreForgotten)
{
    metric_registry metrics;
    wait_log log;
    nextAfter(log, 1'500, metrics);
    logWaits(log, {}, metrics);
    cr_assert(log.nextMs.empty());
}
