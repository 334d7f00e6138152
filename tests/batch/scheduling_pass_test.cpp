#include "chervilport/batch/preemption.h"
#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

std::set<std::string> racksOf(const fake_site& site, const std::string& job)
{
    std::set<std::string> racks;
    for (const auto& run : site.activeRuns(job))
        racks.insert(site.state().workers.at(run.worker).report.rack);
    return racks;
}

bool isWithinCapacity(const batch_state& state)
{
    for (const auto& [number, worker] : state.workers) {
        if (!fitsInto(worker.used, worker.report.capacity))
            return false;
    }
    return true;
}

} // namespace

// Guards against a gang of which only some members are started.
Test(schedulingPass, gangGetsAllPlacesOrNone)
{
    fake_site site;
    site.addWorkers(3);
    const auto large = site.submit(urgentQueue, { gangStep(4, 8) });
    const auto small = site.submit(urgentQueue, { gangStep(3, 8) });
    site.pass();
    cr_assert(site.activeRuns(large).empty());
    cr_assert_eq(site.activeRuns(small).size(), 3);
    std::set<std::uint32_t> runs;
    for (const auto& run : site.activeRuns(small))
        runs.insert(run.run.run);
    cr_assert_eq(runs.size(), 1);
}

// Guards against a new run of a gang while members of the previous run are still active.
Test(schedulingPass, gangWaitsForTheEndOfItsLastRun)
{
    fake_site site;
    site.addWorkers(4);
    const auto id = site.submit(urgentQueue, { gangStep(2, 8) });
    site.pass();
    site.end(site.activeRuns(id).front().run, run_end_kind::Failed);
    cr_assert(site.pass().assigned.empty());
    site.endAll(id, run_end_kind::GangAborted);
    const auto restarted = site.pass().assigned;
    cr_assert_eq(restarted.size(), 2);
    cr_assert_eq(restarted[0].run.run, 2);
    cr_assert_eq(restarted[1].run.run, 2);
}

// Guards against rack-local tasks that are spread over racks although one rack has the capacity.
Test(schedulingPass, rackLocalGangStaysInOneRack)
{
    fake_site site;
    site.addWorkers(8, 4);
    site.submit(urgentQueue, { stepOf(3, 8) });
    site.pass();
    auto step = gangStep(3, 8);
    step.rackLocal = true;
    const auto id = site.submit(urgentQueue, { step });
    site.pass();
    cr_assert_eq(racksOf(site, id).size(), 1);
}

// Guards against tasks on a worker without the required label, and against more tasks on one worker than the step
// allows.
Test(schedulingPass, labelsAndPerWorkerLimitsAreRespected)
{
    fake_site site;
    site.addWorkers(2);
    auto labelled = stepOf(1, 1);
    labelled.requiredLabel = "rare";
    const auto impossible = site.submit(urgentQueue, { labelled });
    auto limited = stepOf(5, 1);
    limited.maxPerWorker = 2;
    const auto spread = site.submit(urgentQueue, { limited });
    site.pass();
    site.pass();
    cr_assert(site.activeRuns(impossible).empty());
    cr_assert_eq(site.activeRuns(spread).size(), 4);
}

// Guards against runs that are assigned to draining or unusable workers.
Test(schedulingPass, unusableWorkersGetNothing)
{
    fake_site site;
    site.addWorkers(2);
    auto leaving = site.state().workers.begin()->second.report;
    leaving.draining = true;
    leaving.sequence = 9;
    site.apply(worker_reported { leaving });
    site.conditions.rbegin()->second.isUsable = false;
    site.submit(urgentQueue, { stepOf(1, 1) });
    cr_assert(site.pass().assigned.empty());
}

// Guards against a guarantee that is not reclaimed, and against use of capacity before the victims there have stopped.
Test(schedulingPass, guaranteedJobPreemptsBorrowers)
{
    fake_site site(8);
    site.addWorkers(2);
    const auto first = site.submit(normalQueue, { stepOf(8, 1) });
    site.pass();
    site.advance(20'000);
    const auto second = site.submit(normalQueue, { stepOf(8, 1) });
    site.pass();
    site.pass();
    const auto urgent = site.submit(urgentQueue, { stepOf(1, 8) });
    auto result = site.pass();
    // Free capacity is used first; the rest is reclaimed from borrowers.
    const auto started = site.activeRuns(urgent).size();
    cr_assert(started == 1 || !result.preempted.empty());
    const auto waiting = site.submit(backgroundQueue, { stepOf(8, 1) });
    for (int i = 0; i < 20 && site.activeRuns(urgent).empty(); ++i) {
        for (const auto& run : std::set<run_ref>(site.schedulerState.stopping))
            site.end(run, run_end_kind::Stopped);
        site.pass();
    }
    cr_assert_eq(site.activeRuns(urgent).size(), 1);
    cr_assert(isWithinCapacity(site.state()));
    cr_assert(site.activeRuns(waiting).empty());
    cr_assert_leq(site.activeRuns(first).size() + site.activeRuns(second).size(), 8);
}

// Guards against a burst of guaranteed jobs that stops one member each of many gangs, so that all of their work is
// lost. Capacity that the end of one gang releases is used first.
Test(schedulingPass, onlyAsManyGangsAreStoppedAsNeeded)
{
    fake_site site(64);
    site.addWorkers(8);
    const auto running = site.submit(urgentQueue, { stepOf(4, 8) });
    site.pass();
    // The first gang is placed on the healthiest workers, which are not adjacent, so that the second one lies between
    // them.
    const std::int32_t weights[] = { 0, 0, 0, 0, 1, 2, 2, 1 };
    std::size_t next = 0;
    for (auto& [number, condition] : site.conditions)
        condition.failureWeight = weights[next++];
    const std::vector<std::string> gangs { site.submit(normalQueue, { gangStep(2, 8) }),
        site.submit(normalQueue, { gangStep(2, 8) }) };
    site.pass();
    cr_assert_eq(site.activeRuns(gangs[0]).size() + site.activeRuns(gangs[1]).size(), 4);
    site.advance(3'000);
    site.submit(urgentQueue, { stepOf(2, 8) });
    const auto result = site.pass();
    std::set<std::string> stopped;
    for (const auto& run : result.preempted)
        stopped.insert(run.run.task.job);
    cr_assert_eq(stopped.size(), 1);
    cr_assert_eq(site.activeRuns(running).size(), 4);
}

// Guards against a guaranteed job that preempts an urgent job beyond the guarantee, which has lost less work because it
// started later, so that the urgent job misses its objective.
Test(schedulingPass, otherWorkIsStoppedBeforeUrgentWork)
{
    fake_site site;
    site.addWorkers(2);
    const auto other = site.submit(normalQueue, { stepOf(8, 1) });
    site.pass();
    site.advance(3'000);
    const auto urgent = site.submit(urgentQueue, { stepOf(8, 1) });
    site.pass();
    site.advance(1'000);
    double otherLoss = 0;
    double urgentLoss = 0;
    for (const auto& victim : listVictims(site.state(), {}, {}, 1'004'000))
        (victim.run.task.job == other ? otherLoss : urgentLoss) += victim.lostWork;
    cr_assert_gt(otherLoss, 0);
    cr_assert_gt(urgentLoss, otherLoss);
}

// Guards against a rack-local guaranteed gang that takes the cheapest capacity of all racks, so that it is spread over
// them and its runs take three times as long.
Test(schedulingPass, rackLocalGuaranteedGangReclaimsCapacityInOneRack)
{
    fake_site site(64);
    site.addWorkers(8, 4);
    // Two workers of each rack run work that started long ago, the other two work that has little to lose.
    site.submit(normalQueue, { stepOf(16, 1) });
    const auto firstFinished = site.submit(normalQueue, { stepOf(16, 1) });
    site.submit(normalQueue, { stepOf(16, 1) });
    const auto secondFinished = site.submit(normalQueue, { stepOf(16, 1) });
    site.pass();
    site.advance(5'000);
    site.endAll(firstFinished, run_end_kind::Done);
    site.endAll(secondFinished, run_end_kind::Done);
    site.submit(normalQueue, { stepOf(32, 1) });
    site.pass();
    site.advance(500);
    auto step = gangStep(3, 8);
    step.rackLocal = true;
    const auto gang = site.submit(urgentQueue, { step });
    for (int i = 0; i < 4 && site.activeRuns(gang).empty(); ++i) {
        site.pass();
        for (const auto& run : std::set<run_ref>(site.schedulerState.stopping))
            site.end(run, run_end_kind::Stopped);
    }
    cr_assert_eq(site.activeRuns(gang).size(), 3);
    cr_assert_eq(racksOf(site, gang).size(), 1);
}

// Guards against a guarantee that is not reclaimed in time because no single rack has the capacity.
Test(schedulingPass, rackLocalGuaranteedGangIsSpreadBeforeTheReclaimTimeEnds)
{
    fake_site site(64);
    site.addWorkers(4, 2);
    auto step = gangStep(3, 8);
    step.rackLocal = true;
    const auto gang = site.submit(urgentQueue, { step });
    cr_assert(site.pass().assigned.empty());
    site.advance(1'500);
    site.pass();
    cr_assert_eq(site.activeRuns(gang).size(), 3);
}

// Guards against tasks that are placed outside the rack of their data after a short wait, so that they take three times
// as long and use capacity that other tasks need.
Test(schedulingPass, tasksWaitForTheRackOfTheirDataAsLongAsItSavesTime)
{
    fake_site site;
    site.addWorkers(4, 2);
    site.submit(normalQueue, { stepOf(16, 1) });
    site.pass();
    auto step = stepOf(1, 1);
    step.dataRack = "r0";
    step.estimateMs = 8'000;
    const auto rackBound = site.submit(normalQueue, { step });
    site.advance(5'000);
    cr_assert(site.pass().assigned.empty());
    site.advance(4'000);
    site.pass();
    cr_assert_eq(site.activeRuns(rackBound).size(), 1);
}

// Guards against workers that stay reserved for a guaranteed job after it has started elsewhere, so that other jobs of
// the burst wait while workers are idle.
Test(schedulingPass, reservationEndsOnceTheJobIsPlaced)
{
    fake_site site(8);
    site.addWorkers(2);
    const auto other = site.submit(normalQueue, { stepOf(16, 1) });
    site.pass();
    site.advance(1'000);
    const auto guaranteed = site.submit(urgentQueue, { stepOf(1, 8) });
    cr_assert_eq(site.pass().preempted.size(), 8);
    const auto reserved = site.schedulerState.reservations.begin()->first;
    // The other worker becomes free first.
    for (const auto& run : site.activeRuns(other)) {
        if (run.worker != reserved)
            site.end(run.run, run_end_kind::Done);
    }
    site.pass();
    cr_assert_eq(site.activeRuns(guaranteed).size(), 1);
    site.endAll(other, run_end_kind::Stopped);
    site.endAll(other, run_end_kind::Done);
    const auto next = site.submit(urgentQueue, { stepOf(1, 8) });
    site.pass();
    cr_assert_eq(site.activeRuns(next).size(), 1);
}

// Guards against starvation of a gang that needs empty workers, because small tasks of lower priority take each
// accelerator that becomes free.
Test(schedulingPass, smallTasksDoNotStarveAWaitingGang)
{
    fake_site site;
    site.addWorkers(8);
    constexpr std::size_t halfWorkers = 16;
    std::vector<std::string> small;
    small.reserve(halfWorkers);
    for (std::size_t i = 0; i < halfWorkers; ++i)
        small.push_back(site.submit(backgroundQueue, { stepOf(4, 1) }));
    site.pass();
    const auto gang = site.submit(normalQueue, { gangStep(2, 8) });
    // Half of a worker becomes free at a time, and small tasks are always waiting.
    for (const auto& id : small) {
        site.submit(backgroundQueue, { stepOf(4, 1) });
        site.advance(200);
        site.endAll(id, run_end_kind::Done);
        site.pass();
    }
    cr_assert_eq(site.activeRuns(gang).size(), 2);
}

// Guards against a long task that waits for the rack of its data while most of the pool is idle.
Test(schedulingPass, tasksOfAnIdlePoolDoNotWaitForARack)
{
    fake_site site;
    site.addWorkers(8, 2);
    site.submit(normalQueue, { stepOf(16, 1) });
    site.pass();
    auto step = stepOf(1, 1);
    step.dataRack = "r0";
    step.estimateMs = 60'000;
    const auto rackBound = site.submit(normalQueue, { step });
    site.pass();
    cr_assert(site.activeRuns(rackBound).empty());
    site.advance(2'900);
    site.pass();
    cr_assert_eq(site.activeRuns(rackBound).size(), 1);
}

// Guards against preemption of borrowers for a job beyond the guarantee of its workspace.
Test(schedulingPass, jobBeyondTheGuaranteePreemptsNothing)
{
    fake_site site(4);
    site.addWorkers(1);
    site.schedulerState.urgentDemand = {};
    const auto running = site.submit(urgentQueue, { stepOf(8, 1) });
    site.pass();
    site.submit(urgentQueue, { stepOf(1, 8) });
    cr_assert(site.pass().preempted.empty());
    cr_assert_eq(site.activeRuns(running).size(), 8);
}

// Guards against guaranteed jobs of lost workers that are placed again long after their objective and stop other work
// for a result that is no longer useful.
Test(schedulingPass, expiredJobPreemptsNothingDespiteItsGuarantee)
{
    fake_site site(64);
    site.addWorkers(2);
    const auto lost = site.submit(urgentQueue, { gangStep(2, 8) });
    site.pass();
    site.endAll(lost, run_end_kind::Lost);
    site.advance(60'000);
    const auto other = site.submit(urgentQueue, { stepOf(16, 1) });
    site.pass();
    cr_assert_eq(site.activeRuns(other).size(), 16);
    const auto result = site.pass();
    cr_assert(result.preempted.empty());
    cr_assert(site.activeRuns(lost).empty());
}

// Guards against expired jobs that are placed before jobs that can still meet their objective.
Test(schedulingPass, expiredJobsWaitBehindJobsOnTime)
{
    fake_site site;
    site.addWorkers(1);
    const auto expired = site.submit(urgentQueue, { stepOf(8, 1) });
    site.advance(60'000);
    const auto onTime = site.submit(urgentQueue, { stepOf(8, 1) });
    site.pass();
    cr_assert(site.activeRuns(expired).empty());
    cr_assert_eq(site.activeRuns(onTime).size(), 8);
}

// Guards against long tasks that fill every worker just before a burst of short urgent jobs.
Test(schedulingPass, workersStayFreeForUrgentBursts)
{
    fake_site site;
    site.addWorkers(16);
    const auto urgent = site.submit(urgentQueue, { stepOf(4, 8) });
    site.pass();
    site.endAll(urgent, run_end_kind::Done);
    site.submit(normalQueue, { stepOf(200, 1) });
    site.pass();
    const auto burst = site.submit(urgentQueue, { stepOf(4, 8) });
    site.pass();
    cr_assert_eq(site.activeRuns(burst).size(), 4);
}

// Guards against starvation of a gang in an idle pool because workers are reserved for urgent jobs.
Test(schedulingPass, idlePoolServesLongWaitingJobs)
{
    fake_site site;
    site.addWorkers(4);
    const auto urgent = site.submit(urgentQueue, { stepOf(3, 8) });
    site.pass();
    site.endAll(urgent, run_end_kind::Done);
    const auto waiting = site.submit(normalQueue, { gangStep(4, 8) });
    cr_assert(site.pass().assigned.empty());
    site.advance(7'000);
    site.pass();
    cr_assert_eq(site.activeRuns(waiting).size(), 4);
}

// Guards against an occurrence that starts before its due time, and against one that is skipped.
Test(schedulingPass, occurrencesStartWhenDue)
{
    fake_site site;
    site.addWorkers(2);
    job_request request;
    request.id = "timed";
    request.steps = { stepOf(1, 1) };
    request.repeatCount = 2;
    request.firstMs = 1'005'000;
    request.intervalMs = 1'000;
    site.apply(job_submitted { request, urgentQueue, "main" });
    site.advance(4'999);
    cr_assert(site.pass().assigned.empty());
    site.advance(1'001);
    cr_assert_eq(site.pass().assigned.size(), 2);
    site.endAll("timed", run_end_kind::Done);
    cr_assert(site.job("timed").phase == job_phase::Completed);
}

// Guards against runs on a worker that exceed its capacity, for random orders of submissions and ends.
Test(schedulingPass, neverExceedsCapacity)
{
    const bool holds = rc::check([] {
        fake_site site(*rc::gen::inRange(0, 17));
        site.addWorkers(4, 2);
        std::vector<std::string> jobs;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
        for (const auto choice : steps) {
            const std::int64_t accelerators = 1 << (choice % 4);
            const auto count = static_cast<std::uint32_t>(choice / 4 % 5 + 1);
            const char* const queues[] = { urgentQueue, normalQueue, backgroundQueue };
            if (choice % 3 == 0)
                jobs.push_back(site.submit(queues[choice / 7 % 3],
                    { choice % 2 == 0 ? gangStep(count, accelerators) : stepOf(count, accelerators) }));
            else if (choice % 3 == 1 && !jobs.empty())
                site.endAll(jobs[static_cast<std::size_t>(choice) % jobs.size()],
                    choice % 5 == 0 ? run_end_kind::Failed : run_end_kind::Done);
            else
                for (const auto& run : std::set<run_ref>(site.schedulerState.stopping)) {
                    // The job of a run that is being stopped can have ended before.
                    const auto* const task = findTask(site.state(), run.task);
                    if (task != nullptr && task->worker != noWorker && task->lastRun == run.run)
                        site.end(run, run_end_kind::Stopped);
                }
            site.advance(choice * 3);
            site.pass();
            RC_ASSERT(isWithinCapacity(site.state()));
        }
        // The values that are updated with each command must equal those that are derived from the jobs.
        auto derived = site.state();
        deriveAccounting(derived);
        for (const auto& [number, worker] : site.state().workers)
            RC_ASSERT(derived.workers.at(number).used == worker.used);
    });
    cr_assert(holds);
}

namespace {

/// Fills the pool with jobs that borrow guaranteed capacity.
void fillPool(fake_site& site, const std::vector<int>& choices)
{
    for (const auto choice : choices) {
        auto step = stepOf(static_cast<std::uint32_t>(choice % 6 + 1), 1 << (choice / 6 % 4));
        step.gang = choice % 2 == 0;
        step.rackLocal = choice % 4 == 0;
        step.checkpointing = choice % 5 == 0;
        step.estimateMs = 60'000;
        site.submit(choice % 3 == 0 ? normalQueue : backgroundQueue, { step });
        site.advance(choice % 700);
        site.pass();
    }
}

bool hasRun(const fake_site& site, const run_ref& run)
{
    const auto* const task = findTask(site.state(), run.task);
    return task != nullptr && task->worker != noWorker && task->lastRun == run.run;
}

/// Runs passes until all tasks of the job have started, and returns the elapsed milliseconds. Preempted runs end after
/// the longest time that a worker takes to stop a run, and their gangs end with them.
std::int64_t simulateReclaim(
    fake_site& site, const std::string& job, const step_spec& step, const placement_bounds& bounds)
{
    constexpr std::int64_t passMs = 50;
    std::map<run_ref, std::int64_t> stopAt;
    for (std::int64_t now = 0; now <= bounds.reclaimMs; now += passMs) {
        for (const auto& [run, at] : std::map<run_ref, std::int64_t>(stopAt)) {
            if (at > now)
                continue;
            stopAt.erase(run);
            if (!hasRun(site, run))
                continue;
            site.end(run, run_end_kind::Stopped);
            if (site.job(run.task.job).request.steps.front().gang)
                site.endAll(run.task.job, run_end_kind::GangAborted);
        }
        for (const auto& run : site.pass().preempted)
            stopAt.emplace(run.run, now + bounds.maxStopMs);
        const auto startedCount = site.activeRuns(job).size();
        if (startedCount == step.count)
            return now;
        RC_ASSERT(!step.gang || startedCount == 0);
        site.advance(passMs);
    }
    return bounds.reclaimMs + passMs;
}

} // namespace

// Guards against a guarantee that is not reclaimed in time, or by only a part of a gang, for random jobs of borrowers.
Test(schedulingPass, guaranteedJobStartsWithinTheReclaimTime)
{
    const bool holds = rc::check([] {
        constexpr std::int64_t guarantee = 32;
        const placement_bounds bounds;
        fake_site site(guarantee);
        // A guarantee can be larger than a rack.
        site.addWorkers(8, 2);
        fillPool(site, *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000)));
        const auto accelerators = std::int64_t { 1 } << *rc::gen::inRange(0, 4);
        const auto count = *rc::gen::inRange<std::int64_t>(1, guarantee / accelerators + 1);
        auto step = stepOf(static_cast<std::uint32_t>(count), accelerators);
        step.gang = *rc::gen::arbitrary<bool>();
        step.rackLocal = *rc::gen::arbitrary<bool>();
        const auto job = site.submit(urgentQueue, { step });
        RC_ASSERT(simulateReclaim(site, job, step, bounds) <= bounds.reclaimMs);
        RC_ASSERT(isWithinCapacity(site.state()));
    });
    cr_assert(holds);
}
