#include "chervilport/batch/preemption.h"
#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
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
    for (const auto& victim : listVictims(site.state(), {}, {}, {}, {}, 1'004'000))
        (victim.run.task.job == other ? otherLoss : urgentLoss) += victim.lostValue;
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
    site.schedulerState.urgentDemand.clear();
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
    site.apply(job_submitted { request, *findQueue(site.state().config, urgentQueue), "main" });
    site.advance(4'999);
    cr_assert(site.pass().assigned.empty());
    site.advance(1'001);
    cr_assert_eq(site.pass().assigned.size(), 2);
    site.endAll("timed", run_end_kind::Done);
    cr_assert(site.job("timed").phase == job_phase::Completed);
}
