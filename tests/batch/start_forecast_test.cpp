#include "chervilport/batch/start_forecast.h"

#include "tests/batch/fake_site.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>
#include <string>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

constexpr std::int64_t runMs = 2'000;
constexpr std::int64_t longRunMs = 10'000;
constexpr std::int64_t settledMs = 20'000;
constexpr const char* burstWorkspace = "burst";
constexpr const char* smallWorkspace = "small";

job_record recordOf(const fake_site& site, const char* queue, const step_spec& step, const char* workspace = "main")
{
    job_record job;
    job.request.id = "new";
    job.request.steps = { step };
    job.queue = queue;
    job.service = "pool";
    job.workspace = workspace;
    job.priority = findQueue(site.state().config, queue)->priority;
    job.acceptedMs = site.nowMs();
    return job;
}

forecast_decision decide(const fake_site& site, const job_record& job)
{
    return forecastJob(site.state(), site.conditions, site.schedulerState, job, site.nowMs());
}

void learnRunTimes(fake_site& site, std::int64_t urgentRunMs = runMs)
{
    constexpr int samples = 20;
    for (int i = 0; i < samples; ++i) {
        recordRunTime(site.schedulerState.estimates, urgentQueue, urgentRunMs);
        recordRunTime(site.schedulerState.estimates, normalQueue, runMs);
        recordRunTime(site.schedulerState.estimates, backgroundQueue, runMs);
    }
}

/// One worker of 8 accelerators whose leader has passed for a while, and urgent jobs of ten seconds that each need all
/// of it. A background job of two seconds is of no use after 21 s, so three of them ahead are too many.
void overload(fake_site& site, const char* workspace = "main")
{
    constexpr int jobs = 6;
    site.addWorkers(1);
    site.pass();
    learnRunTimes(site, longRunMs);
    site.advance(settledMs);
    for (int i = 0; i < jobs; ++i)
        site.submit(urgentQueue, { stepOf(8, 1) }, workspace);
    site.pass();
}

} // namespace

// Load: six urgent jobs of ten seconds that each need the whole pool, at once. Guards against a short background job
// that is accepted although its result can only come when it is of no use.
Test(startForecast, overloadRefusesWhatWouldBeWorthless)
{
    fake_site site;
    overload(site);
    const auto decision = decide(site, recordOf(site, backgroundQueue, stepOf(8, 1)));
    cr_assert(decision.verdict == forecast_verdict::Worthless);
    const auto& forecast = decision.forecast;
    cr_assert_eq(forecast.startMs, site.nowMs() + 6 * longRunMs);
    cr_assert_eq(forecast.endMs, forecast.startMs + runMs);
    cr_assert_eq(forecast.inputs.activeRuns, 8);
    cr_assert_eq(forecast.inputs.tasksAhead, 5 * 8);
    cr_assert_eq(forecast.inputs.samples, 20);
}

// Load: 80 s of work in jobs like the new one. Guards against a queue of equal jobs that refuses the newest
// one: older ones lose their value first and fall behind it.
Test(startForecast, equalJobsAheadRefuseNothing)
{
    constexpr int jobs = 40;
    fake_site site;
    site.addWorkers(1);
    site.pass();
    learnRunTimes(site);
    site.advance(settledMs);
    for (int i = 0; i < jobs; ++i)
        site.submit(normalQueue, { stepOf(8, 1) });
    site.pass();
    cr_assert(decide(site, recordOf(site, normalQueue, stepOf(8, 1))).verdict == forecast_verdict::Useful);
}

// Load: six seconds of work ahead. Guards against a refusal of a job whose result would come late but be of use.
Test(startForecast, shortQueueRefusesNothing)
{
    fake_site site;
    site.addWorkers(1);
    site.pass();
    learnRunTimes(site);
    site.advance(settledMs);
    for (int i = 0; i < 3; ++i)
        site.submit(urgentQueue, { stepOf(8, 1) });
    site.pass();
    const auto decision = decide(site, recordOf(site, normalQueue, stepOf(8, 1)));
    cr_assert(decision.verdict == forecast_verdict::Useful);
    cr_assert_eq(decision.forecast.startMs, site.nowMs() + 3 * runMs);
}

// Load: as in the overload, with a worker more that is free. Guards against a refusal beside free room.
Test(startForecast, jobWithRoomIsNeverRefused)
{
    fake_site site;
    overload(site);
    site.addWorkers(1);
    cr_assert(decide(site, recordOf(site, backgroundQueue, stepOf(8, 1))).verdict == forecast_verdict::HasRoom);
}

// Guards against a refusal under the guarantee of a workspace, and against a guarantee that covers more than it says.
Test(startForecast, jobWithinTheGuaranteeIsNeverRefused)
{
    fake_site site(8);
    overload(site, burstWorkspace);
    cr_assert(decide(site, recordOf(site, urgentQueue, stepOf(8, 1))).verdict == forecast_verdict::Guaranteed);
    cr_assert(decide(site, recordOf(site, urgentQueue, stepOf(9, 1))).verdict != forecast_verdict::Guaranteed);
    cr_assert(decide(site, recordOf(site, backgroundQueue, stepOf(8, 1))).verdict != forecast_verdict::Guaranteed);
}

// Guards against a refusal of work that waits for its due times, and of services.
Test(startForecast, repeatedAndLongRunningJobsAreNeverRefused)
{
    fake_site site;
    overload(site);
    auto repeated = recordOf(site, backgroundQueue, stepOf(8, 1));
    repeated.request.repeatCount = 2;
    cr_assert(decide(site, repeated).verdict == forecast_verdict::NotTimed);
    auto service = stepOf(8, 1);
    service.longRunning = true;
    cr_assert(decide(site, recordOf(site, backgroundQueue, service)).verdict == forecast_verdict::NotTimed);
}

// Guards against a new leader that refuses jobs by estimates of submitters, before it has reached its workers, or right
// after the change.
Test(startForecast, newLeaderRefusesNothingUntilItsInputsAreSound)
{
    fake_site site;
    overload(site);
    const auto job = recordOf(site, backgroundQueue, stepOf(8, 1));
    site.schedulerState = {};
    cr_assert(decide(site, job).verdict == forecast_verdict::Unsound);
    site.pass();
    learnRunTimes(site, longRunMs);
    cr_assert(decide(site, job).verdict == forecast_verdict::Unsound);
    site.schedulerState.firstPassMs = site.nowMs() - settledMs;
    cr_assert(decide(site, job).verdict == forecast_verdict::Worthless);
    site.schedulerState.estimates = {};
    cr_assert(decide(site, job).verdict == forecast_verdict::Unsound);
    learnRunTimes(site, longRunMs);
    for (auto& [number, condition] : site.conditions)
        condition.isUsable = false;
    cr_assert(decide(site, job).verdict == forecast_verdict::Unsound);
}

// Load: urgent jobs of ten seconds of one workspace, which holds the pool, are added one by one. Guards against a
// refusal that turns away a workspace within its share before one beyond it.
Test(startForecast, workspaceBeyondItsShareIsTurnedAwayFirst)
{
    constexpr int jobs = 10;
    fake_site site;
    site.addWorkers(1);
    site.configureWorkspaces({ { burstWorkspace, { "a" }, 0 }, { smallWorkspace, { "b" }, 0 } });
    site.submit(urgentQueue, { stepOf(8, 1) }, burstWorkspace);
    site.pass();
    learnRunTimes(site, longRunMs);
    site.advance(settledMs);
    site.pass();
    bool isBurstTurnedAwayFirst = false;
    for (int i = 0; i < jobs; ++i) {
        site.submit(urgentQueue, { stepOf(8, 1) }, burstWorkspace);
        const auto burst = decide(site, recordOf(site, backgroundQueue, stepOf(8, 1), burstWorkspace)).verdict;
        const auto small = decide(site, recordOf(site, backgroundQueue, stepOf(8, 1), smallWorkspace)).verdict;
        const bool isBurstTurnedAway = burst == forecast_verdict::Worthless;
        const bool isSmallTurnedAway = small == forecast_verdict::Worthless;
        cr_assert(isBurstTurnedAway || !isSmallTurnedAway);
        isBurstTurnedAwayFirst = isBurstTurnedAwayFirst || (isBurstTurnedAway && !isSmallTurnedAway);
    }
    cr_assert(isBurstTurnedAwayFirst);
}

// Load: a hundred refused callers. Guards against callers that all return in the same second.
Test(startForecast, callersReturnSpreadOverAnInterval)
{
    constexpr std::int64_t maxRetrySeconds = 60;
    fake_site site;
    overload(site);
    auto job = recordOf(site, backgroundQueue, stepOf(8, 1));
    const auto forecast = decide(site, job).forecast;
    std::map<std::int64_t, int> bySecond;
    for (int i = 0; i < 100; ++i) {
        job.request.id = "caller-" + std::to_string(i);
        const auto delay = retryDelay(site.state(), site.schedulerState.estimates, job, forecast, site.nowMs());
        cr_assert_eq(delay.count(),
            retryDelay(site.state(), site.schedulerState.estimates, job, forecast, site.nowMs()).count());
        cr_assert_geq(delay.count(), 1);
        cr_assert_leq(delay.count(), maxRetrySeconds);
        ++bySecond[delay.count()];
    }
    cr_assert_geq(bySecond.size(), 5);
    for (const auto& [second, callers] : bySecond)
        cr_assert_leq(callers, 30);
}
