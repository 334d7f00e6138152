#include "chervilport/batch/suspect_isolation.h"

#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <set>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

/// Records a crash under all active runs of a job, and ends them.
void crashUnder(fake_site& site, const std::string& job)
{
    std::set<worker_number> workers;
    for (const auto& run : site.activeRuns(job))
        workers.insert(run.worker);
    for (const auto worker : workers) {
        std::vector<run_ref> runs;
        for (const auto& run : site.activeRuns(job)) {
            if (run.worker == worker)
                runs.push_back(run.run);
        }
        site.apply(worker_crashed { worker, runs, {} });
    }
    site.endAll(job, run_end_kind::Lost);
}

} // namespace

// Guards against a job whose tasks all crash their workers and that takes down as many workers again with each try.
Test(suspectIsolation, suspectTasksOfAStepAreTriedOneByOne)
{
    fake_site site;
    site.addWorkers(8);
    const auto id = site.submit(normalQueue, { stepOf(4, 8) });
    cr_assert_eq(site.pass().assigned.size(), 4);
    crashUnder(site, id);
    cr_assert_eq(site.pass().assigned.size(), 1);
    site.advance(999);
    cr_assert(site.pass().assigned.empty());
    site.advance(1);
    cr_assert_eq(site.pass().assigned.size(), 3);
}

// Guards against a suspect task whose worker no longer responds and that counts as survived.
Test(suspectIsolation, silentWorkerKeepsItsTaskOnProbation)
{
    fake_site site;
    site.addWorkers(8);
    const auto id = site.submit(normalQueue, { stepOf(2, 8) });
    site.pass();
    crashUnder(site, id);
    cr_assert_eq(site.pass().assigned.size(), 1);
    site.conditions[site.activeRuns(id).front().worker].isUsable = false;
    site.advance(3'000);
    cr_assert(site.pass().assigned.empty());
}

// Guards against runs of other jobs that are lost with a suspect task.
Test(suspectIsolation, suspectTaskSharesNoWorker)
{
    fake_site site;
    site.addWorkers(3);
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    crashUnder(site, id);
    const auto other = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    const auto later = site.submit(normalQueue, { stepOf(17, 1) });
    site.pass();
    const auto worker = site.activeRuns(id).front().worker;
    cr_assert(site.activeRuns(other).front().worker != worker);
    for (const auto& run : site.activeRuns(later))
        cr_assert(run.worker != worker);
    // After a second the worker is shared again.
    site.advance(1'000);
    site.pass();
    cr_assert_eq(site.activeRuns(later).size(), 17);
}

// Guards against a suspect task that waits for ever in a full pool.
Test(suspectIsolation, suspectTaskWaitsTwoSecondsForAnEmptyWorker)
{
    fake_site site;
    site.addWorkers(2);
    site.submit(normalQueue, { stepOf(8, 1) });
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.submit(normalQueue, { stepOf(3, 1) });
    site.pass();
    crashUnder(site, id);
    cr_assert(site.pass().assigned.empty());
    site.advance(1'999);
    cr_assert(site.pass().assigned.empty());
    site.advance(1);
    cr_assert_eq(site.pass().assigned.size(), 1);
}

// Guards against a suspect task that is tried where a worker has crashed, so that the crash shows nothing.
Test(suspectIsolation, suspectTaskAvoidsWorkersThatHaveCrashed)
{
    fake_site site;
    site.addWorkers(2);
    const auto id = site.submit(normalQueue, { stepOf(1, 8) });
    site.pass();
    const auto first = site.activeRuns(id).front().worker;
    crashUnder(site, id);
    site.pass();
    cr_assert(site.activeRuns(id).front().worker != first);
}

// Guards against a gang with a suspect member that is split.
Test(suspectIsolation, gangWithASuspectMemberStartsWhole)
{
    fake_site site;
    site.addWorkers(4);
    const auto other = site.submit(normalQueue, { stepOf(1, 1) });
    const auto id = site.submit(normalQueue, { gangStep(2, 7) });
    site.pass();
    const auto crashed = site.activeRuns(id).front();
    site.apply(worker_crashed { crashed.worker, { crashed.run }, {} });
    site.endAll(id, run_end_kind::Lost);
    site.pass();
    cr_assert_eq(site.activeRuns(id).size(), 2);
    for (const auto& run : site.activeRuns(id))
        cr_assert(run.worker != site.activeRuns(other).front().worker);
}

// Guards against a wait that a clock which has stepped back prolongs.
Test(suspectIsolation, clockThatStepsBackProlongsNoWait)
{
    fake_site site;
    site.addWorkers(1);
    site.submit(normalQueue, { stepOf(1, 1) });
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    crashUnder(site, id);
    site.advance(2'000);
    site.submit(normalQueue, { stepOf(1, 8) });
    site.advance(-60'000);
    cr_assert_eq(site.pass().assigned.size(), 1);
}

// Guards against more tasks of a step on a worker than the step allows: its suspect tasks are placed as a step of
// their own, after the others.
Test(suspectIsolation, suspectTasksCountTowardsTheLimitPerWorker)
{
    fake_site site;
    site.addWorkers(1);
    auto step = stepOf(2, 4);
    step.maxPerWorker = 1;
    const auto id = site.submit(normalQueue, { step });
    cr_assert_eq(site.pass().assigned.size(), 1);
    site.conditions[site.activeRuns(id).front().worker].isUsable = false;
    crashUnder(site, id);
    site.advance(2'000);
    site.conditions.begin()->second.isUsable = true;
    cr_assert_eq(site.pass().assigned.size(), 1);
}
