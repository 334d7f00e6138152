#include "chervilport/batch/crash_history.h"

#include "chervilport/batch/batch_codec.h"
#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

run_ref runOf(const std::string& job, std::uint32_t run) { return { { job, 0, 0, 0 }, run }; }

/// Records a crash at an address and returns whether the first run's task is given up.
bool crash(crash_history& history, const std::vector<run_ref>& runs, bool isOfOneJob, const std::string& address)
{
    const auto givenUp = recordCrash(history, { address, runs, {}, isOfOneJob, 1'000 });
    return std::find(givenUp.begin(), givenUp.end(), runs.front().task) != givenUp.end();
}

} // namespace

// Guards against a task that is given up after one crash, which any worker can have.
Test(crashHistory, secondCrashUnderATaskAloneIsConclusive)
{
    crash_history history;
    cr_assert(!crash(history, { runOf("a", 1) }, true, "x"));
    cr_assert(crash(history, { runOf("a", 2) }, true, "y"));
}

// Guards against tasks that are given up for the crashes of a task beside them.
Test(crashHistory, crashWithOtherJobsOnTheWorkerIsNotConclusive)
{
    crash_history history;
    for (std::uint32_t run = 1; run <= 3; ++run)
        cr_assert(!crash(history, { runOf("a", run), runOf("b", run) }, false, "x" + std::to_string(run)));
    cr_assert(crash(history, { runOf("a", 4), runOf("b", 4) }, false, "x4"));
}

// Guards against a crash that counts twice when it is proposed again.
Test(crashHistory, runCountsOnce)
{
    crash_history history;
    cr_assert(!crash(history, { runOf("a", 1) }, true, "x"));
    cr_assert(!crash(history, { runOf("a", 1) }, true, "y"));
    cr_assert_eq(findCrashes(history, runOf("a", 1).task)->crashes, 1);
}

// Guards against a crash that is not counted because a worker that crashed later is back earlier.
Test(crashHistory, crashesReportedOutOfOrderCount)
{
    crash_history history;
    cr_assert(!crash(history, { runOf("a", 2) }, true, "y"));
    cr_assert(crash(history, { runOf("a", 1) }, true, "x"));
}

// Guards against a task that is given up after two crashes of workers that may never have started it.
Test(crashHistory, unconfirmedCrashesAreNotConclusive)
{
    crash_history history;
    for (std::uint32_t run = 1; run <= 4; ++run) {
        const std::vector runs { runOf("a", run) };
        const auto address = "x" + std::to_string(run);
        cr_assert_eq(recordCrash(history, { address, {}, runs, false, 1'000 }).size(), run == 4 ? 1 : 0);
    }
}

// Guards against addresses that are kept for ever.
Test(crashHistory, addressIsForgotten)
{
    crash_history history;
    const std::vector runs { runOf("a", 1) };
    recordCrash(history, { "x", runs, {}, true, 1'000 });
    cr_assert(hasCrashedLately(history, "x", 61'000));
    cr_assert(!hasCrashedLately(history, "x", 61'001));
    const std::vector later { runOf("a", 2) };
    recordCrash(history, { "y", later, {}, true, 100'000 });
    cr_assert_eq(history.addresses.size(), 1);
}

// Guards against records that outlive their job.
Test(crashHistory, recordsEndWithTheJob)
{
    fake_site site;
    site.addWorkers(2);
    const auto id = site.submit(normalQueue, { stepOf(1, 8) });
    site.pass();
    const auto run = site.activeRuns(id).front();
    site.apply(worker_crashed { run.worker, { run.run }, {} });
    cr_assert_eq(site.state().crashes.tasks.size(), 1);
    site.end(run.run, run_end_kind::Lost);
    site.pass();
    site.endAll(id, run_end_kind::Done);
    cr_assert(site.job(id).phase == job_phase::Completed);
    cr_assert(site.state().crashes.tasks.empty());
}

// Guards against a task that is given up for a crash that may be the fault of a cancelled job on the same worker.
Test(crashHistory, runOfACancelledJobMayBeTheCause)
{
    fake_site site;
    site.addWorkers(1);
    const auto cancelled = site.submit(normalQueue, { stepOf(1, 1) });
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    site.apply(job_cancelled { cancelled });
    for (std::uint32_t run = 1; run <= 2; ++run) {
        site.advance(70'000);
        const auto active = site.activeRuns(id).front();
        site.apply(worker_crashed { active.worker, { active.run }, {} });
        cr_assert(site.job(id).phase == job_phase::Active);
        site.end(active.run, run_end_kind::Lost);
        site.advance(2'000);
        site.pass();
    }
}

// Guards against a service that is given up for the crashes of workers in its long life.
Test(crashHistory, longRunOfALongRunningTaskDoesNotCount)
{
    fake_site site;
    site.addWorkers(2);
    auto step = stepOf(1, 1);
    step.longRunning = true;
    const auto id = site.submit(normalQueue, { step });
    for (int i = 0; i < 3; ++i) {
        site.pass();
        const auto active = site.activeRuns(id).front();
        site.advance(61'000);
        site.apply(worker_crashed { active.worker, { active.run }, {} });
        cr_assert(site.job(id).phase == job_phase::Active);
        site.end(active.run, run_end_kind::Lost);
    }
    cr_assert(site.state().crashes.tasks.empty());
}

// Guards against a snapshot of an earlier version that can no longer be read.
Test(crashHistory, snapshotsOfEarlierVersionsAreRead)
{
    fake_site site;
    site.addWorkers(1);
    site.submit(normalQueue, { stepOf(1, 1) });
    const auto bytes = encodeState(site.state());
    // At the end stand the sizes of five empty maps, the ten fields of the queue of the job and the size of another
    // empty map. Earlier versions wrote none of the first maps, three or four, or all of them, and never the rest.
    constexpr std::size_t laterFields = 11;
    const auto fields = nlohmann::json::from_cbor(bytes);
    for (const std::size_t missingMaps : { 0, 1, 2, 5 }) {
        auto earlier = fields;
        earlier.erase(earlier.end() - static_cast<std::ptrdiff_t>(laterFields + missingMaps), earlier.end());
        const auto encoded = nlohmann::json::to_cbor(earlier);
        const auto restored = decodeState({ reinterpret_cast<const char*>(encoded.data()), encoded.size() });
        cr_assert(encodeState(restored) == bytes);
    }
}
