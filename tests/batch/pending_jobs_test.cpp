#include "chervilport/batch/batch_codec.h"
#include "chervilport/batch/pending_jobs.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

std::size_t countPending(const fake_site& site, bool areConfirmed = false)
{
    return countPendingJobs(site.state(), *findQueue(site.state().config, normalQueue),
        [=](worker_number, const run_ref&) { return areConfirmed; });
}

} // namespace

// Guards against a job that is not counted as pending although it has not begun: the lease of its only run ended
// without a confirmation, and no worker has capacity for another run.
Test(pendingJobs, jobWhoseRunsNeverStartedIsPending)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(2, 1) });
    for (int i = 0; i < 2; ++i) {
        site.pass();
        site.endAll(id, run_end_kind::NotStarted);
        cr_assert_eq(countPending(site), 1);
    }
    // A later run counts once it is confirmed.
    site.pass();
    cr_assert_eq(countPending(site), 1);
    cr_assert_eq(countPending(site, true), 0);
    site.endAll(id, run_end_kind::Lost);
    cr_assert_eq(countPending(site), 0);
    site.pass();
    site.endAll(id, run_end_kind::NotStarted);
    cr_assert_eq(countPending(site), 0);
}

// Guards against a caller who is told that none of its jobs waits, because the configuration has given their queue
// another name.
Test(pendingJobs, jobsOfARenamedQueueArePending)
{
    fake_site site;
    site.submit(normalQueue, { stepOf(1, 1) });
    site.submit(urgentQueue, { stepOf(1, 1) });
    auto config = site.state().config;
    ++config.version;
    config.queues[1].name = "renamed";
    site.apply(config_applied { config });
    const auto count = countPendingJobs(
        site.state(), *findQueue(site.state().config, "renamed"), [](worker_number, const run_ref&) { return false; });
    cr_assert_eq(count, 1);
}

// Guards against a job that counts as pending after a task of it has begun on a worker that was lost since.
Test(pendingJobs, jobWithALostRunIsNotPending)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    site.endAll(id, run_end_kind::Lost);
    cr_assert_eq(countPending(site), 0);
    site.pass();
    site.endAll(id, run_end_kind::NotStarted);
    cr_assert_eq(countPending(site), 0);
}

// Guards against jobs without a started run that are forgotten by a snapshot, or kept after their end.
Test(pendingJobs, unstartedJobsAreKeptInASnapshotUntilTheyEnd)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    site.endAll(id, run_end_kind::NotStarted);
    cr_assert(decodeState(encodeState(site.state())).unstartedJobs == site.state().unstartedJobs);
    cr_assert_eq(site.state().unstartedJobs.size(), 1);
    site.apply(job_cancelled { id });
    cr_assert(site.state().unstartedJobs.empty());
}
