#include "chervilport/batch/latency_objective.h"
#include "chervilport/batch/preemption.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <map>
#include <string>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

constexpr std::int64_t fastStopMs = 200;
constexpr std::int64_t slowStopMs = 900;

step_spec checkpointingStep(std::uint32_t count)
{
    auto step = stepOf(count, 1);
    step.checkpointing = true;
    return step;
}

/// Submits and ends urgent work, so that workers are reserved for the next burst of it.
void reserveForBursts(fake_site& site, std::uint32_t workers)
{
    const auto urgent = site.submit(urgentQueue, { stepOf(workers, 8) });
    site.pass();
    site.endAll(urgent, run_end_kind::Done);
}

/// Returns the number of active runs after all tasks of a background job that fit were started.
std::size_t placeBackground(fake_site& site, const step_spec& step)
{
    const auto job = site.submit(backgroundQueue, { step });
    site.pass();
    return site.activeRuns(job).size();
}

} // namespace

// Load: short urgent bursts beside a long queue of background tasks. Guards against workers that stay empty between
// the bursts although the tasks on them could be stopped in time.
Test(overload, checkpointingTasksUseReservedWorkersWhereStopsAreFast)
{
    fake_site site;
    site.bounds.maxStopMs = fastStopMs;
    site.addWorkers(16);
    reserveForBursts(site, 4);
    cr_assert_eq(placeBackground(site, checkpointingStep(200)), 16 * 8);
}

// Load: as above, where a stop takes about as long as an urgent job may wait. Guards against urgent jobs that miss
// their objective while they wait for stops, and against tasks that lose all their work.
Test(overload, reservedWorkersStayEmptyWhereStopsAreSlowOrLoseWork)
{
    fake_site slow;
    slow.bounds.maxStopMs = slowStopMs;
    slow.addWorkers(16);
    reserveForBursts(slow, 4);
    cr_assert_lt(placeBackground(slow, checkpointingStep(200)), 16 * 8);

    fake_site fast;
    fast.bounds.maxStopMs = fastStopMs;
    fast.addWorkers(16);
    reserveForBursts(fast, 4);
    cr_assert_lt(placeBackground(fast, stepOf(200, 1)), 16 * 8);
}

// Load: an urgent burst beyond the guarantee of its workspace meets workers filled with background tasks. Guards
// against urgent jobs that wait for these tasks, and against gangs that are broken for jobs without a guarantee.
Test(overload, urgentBurstStopsFillersOnly)
{
    fake_site site;
    site.bounds.maxStopMs = fastStopMs;
    site.addWorkers(4);
    reserveForBursts(site, 2);
    const auto gang = site.submit(normalQueue, { gangStep(2, 8) });
    site.pass();
    cr_assert_eq(site.activeRuns(gang).size(), 2);
    const auto filler = site.submit(backgroundQueue, { checkpointingStep(100) });
    site.pass();
    cr_assert_eq(site.activeRuns(filler).size(), 16);
    const auto burst = site.submit(urgentQueue, { gangStep(2, 8) });
    const auto preempted = site.pass().preempted;
    cr_assert_eq(preempted.size(), 16);
    for (const auto& each : preempted) {
        cr_assert(each.run.task.job == filler);
        site.end(each.run, run_end_kind::Stopped, "saved");
    }
    site.pass();
    cr_assert_eq(site.activeRuns(burst).size(), 2);
    cr_assert_eq(site.activeRuns(gang).size(), 2);
}

// Load: half as much work again as the workers can do, for two minutes. Guards against an order of arrival, in which
// the queue settles at the age at which every job starts just too late for its objective.
Test(overload, lastingOverloadStillServesJobsInTime)
{
    constexpr std::int64_t stepMs = 100;
    constexpr std::int64_t runMs = 2'000;
    constexpr std::int64_t arrivalMs = 1'300;
    constexpr std::int64_t lengthMs = 120'000;
    // Two thirds of the work fits.
    constexpr double minInTime = 0.5;
    fake_site site;
    site.addWorkers(1);
    std::map<std::string, std::int64_t> submitted;
    std::map<std::string, std::int64_t> started;
    std::size_t inTime = 0;
    for (std::int64_t now = 0; now < lengthMs; now += stepMs, site.advance(stepMs)) {
        if (now % arrivalMs == 0)
            submitted[site.submit(normalQueue, { stepOf(8, 1) })] = now;
        for (const auto& [id, start] : std::map(started)) {
            if (now < start + runMs)
                continue;
            const auto objective = objectiveMs(site.state(), site.schedulerState.estimates, site.job(id));
            inTime += static_cast<double>(now - submitted[id]) <= objective ? 1 : 0;
            site.endAll(id, run_end_kind::Done);
            started.erase(id);
        }
        site.pass();
        for (const auto& [id, at] : submitted) {
            if (!site.activeRuns(id).empty())
                started.try_emplace(id, now);
        }
    }
    cr_assert_geq(static_cast<double>(inTime), minInTime * static_cast<double>(submitted.size()));
}

// Load: an idle pool whose free workers are reserved for urgent jobs, a task that has waited long enough to use them,
// and a fresh one of the same size that may not. Guards against the fresh task that hides the free workers from the
// other.
Test(overload, freshTaskDoesNotKeepAWaitingOneFromReservedWorkers)
{
    constexpr std::int64_t longWaitMs = 7'000;
    fake_site site;
    site.bounds.maxStopMs = slowStopMs;
    site.addWorkers(16);
    reserveForBursts(site, 8);
    cr_assert_eq(placeBackground(site, stepOf(8, 5)), 8);
    const auto waiting = site.submit(backgroundQueue, { stepOf(1, 4) });
    site.pass();
    cr_assert(site.activeRuns(waiting).empty());
    site.advance(longWaitMs);
    const auto fresh = site.submit(normalQueue, { stepOf(1, 4) });
    site.pass();
    cr_assert(site.activeRuns(fresh).empty());
    cr_assert_eq(site.activeRuns(waiting).size(), 1);
}
