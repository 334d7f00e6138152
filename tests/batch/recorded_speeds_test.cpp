#include "chervilport/batch/recorded_speeds.h"

#include "chervilport/batch/batch_codec.h"
#include "tests/batch/fake_site.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

constexpr std::int64_t incarnation = 500'000;
constexpr std::size_t noLimit = 1'000;

worker_number workerAt(int index) { return worker_number { static_cast<std::uint32_t>(index + 1) }; }

const recorded_speed& speedOf(const batch_state& state, int index) { return state.workers.at(workerAt(index)).speed; }

/// Sets an estimate of a leader.
void setEstimate(worker_speeds& speeds, int index, double slowness, std::uint32_t samples = 9)
{
    speeds.workers[workerAt(index)] = { std::log(slowness), samples };
}

/// Records what the leader of the site proposes and replaces it by one that knows only the snapshot.
void changeLeader(fake_site& site)
{
    for (const auto& observed : speedsToRecord(site.schedulerState.speeds, site.state(), noLimit))
        site.apply(observed);
    site.schedulerState = {};
    seedSpeeds(site.schedulerState.speeds, decodeState(encodeState(site.state())));
}

} // namespace

// Guards against urgent gangs on workers that are 1.6 times slow after each change of the leader, with objectives that
// they can't meet there.
Test(recordedSpeeds, urgentGangAvoidsSlowWorkersAfterAChangeOfTheLeader)
{
    fake_site site;
    site.addWorkers(6, 2);
    for (int i = 0; i < 6; ++i)
        setEstimate(site.schedulerState.speeds, i, i < 4 ? 1.6 : 0.6);
    changeLeader(site);
    auto gang = gangStep(2, 8);
    gang.rackLocal = true;
    const auto id = site.submit(urgentQueue, { gang });
    site.pass();
    cr_assert_eq(site.activeRuns(id).size(), 2);
    for (const auto& run : site.activeRuns(id))
        cr_assert(run.worker == workerAt(4) || run.worker == workerAt(5));
}

// Guards against seeded speeds that count as much as the new leader's own samples: a worker that has changed since
// would keep its old speed for long.
Test(recordedSpeeds, newSamplesSoonReplaceTheRecordedSpeed)
{
    fake_site site;
    site.addWorkers(6);
    for (int i = 0; i < 6; ++i)
        setEstimate(site.schedulerState.speeds, i, i == 0 ? 3.0 : 1.0, 1'000);
    changeLeader(site);
    auto& speeds = site.schedulerState.speeds;
    for (int job = 0; job < 3; ++job) {
        for (int i = 5; i >= 0; --i)
            recordPace(speeds, { { "job" + std::to_string(job), 0, 0, 0 }, "q", workerAt(i), 1e-3, false });
    }
    cr_assert_lt(slownessOf(speeds, workerAt(0)), 1.5);
}

// Guards against slow workers that count as typical because only they were recorded.
Test(recordedSpeeds, typicalWorkersAreRecordedToo)
{
    fake_site site;
    site.addWorkers(5);
    for (int i = 0; i < 5; ++i)
        setEstimate(site.schedulerState.speeds, i, i == 0 ? 1.6 : 1.0);
    changeLeader(site);
    cr_assert_eq(site.schedulerState.speeds.workers.size(), 5);
    cr_assert_eq(countBySpeed(site.schedulerState.speeds).slow, 1);
}

// Guards against a log entry for each sample, and against records of speeds that have not settled.
Test(recordedSpeeds, onlySettledAndConsiderableChangesAreRecorded)
{
    fake_site site;
    site.addWorkers(3);
    auto& speeds = site.schedulerState.speeds;
    setEstimate(speeds, 0, 1.6);
    setEstimate(speeds, 1, 4.0, 1);
    const auto first = speedsToRecord(speeds, site.state(), noLimit);
    cr_assert_eq(first.size(), 1);
    cr_assert(first.front().worker == workerAt(0));
    cr_assert_eq(first.front().slownessPercent, 160);
    site.apply(first.front());
    setEstimate(speeds, 0, 1.7);
    cr_assert(speedsToRecord(speeds, site.state(), noLimit).empty());
    setEstimate(speeds, 0, 1.0);
    cr_assert_eq(speedsToRecord(speeds, site.state(), noLimit).size(), 1);
}

// Guards against a leader change in which the slowest workers are unknown because typical ones were recorded first.
Test(recordedSpeeds, greatestDifferencesAreRecordedFirst)
{
    fake_site site;
    site.addWorkers(4);
    auto& speeds = site.schedulerState.speeds;
    setEstimate(speeds, 0, 1.0);
    setEstimate(speeds, 1, 1.3);
    setEstimate(speeds, 2, 0.3);
    setEstimate(speeds, 3, 1.6);
    const auto observed = speedsToRecord(speeds, site.state(), 2);
    cr_assert_eq(observed.size(), 2);
    cr_assert(observed.at(0).worker == workerAt(2));
    cr_assert(observed.at(1).worker == workerAt(3));
}

// Guards against the speed of an earlier incarnation, which can have run on another machine.
Test(recordedSpeeds, speedEndsWithTheIncarnation)
{
    fake_site site;
    site.addWorkers(1);
    site.apply(worker_speed_observed { workerAt(0), incarnation, 160, 9 });
    cr_assert_eq(speedOf(site.state(), 0).slownessPercent, 160);
    setEstimate(site.schedulerState.speeds, 0, 1.6);
    const worker_reported again { reportOf("w0", "10.0.0.0:80", incarnation + 1) };
    removeOutdatedSpeeds(site.schedulerState.speeds, site.state(), { site.nowMs(), { again } });
    cr_assert(site.schedulerState.speeds.workers.empty());
    site.apply(again);
    cr_assert(speedOf(site.state(), 0) == recorded_speed {});
    // The leader proposed this one before the report arrived.
    site.apply(worker_speed_observed { workerAt(0), incarnation, 160, 9 });
    cr_assert(speedOf(site.state(), 0) == recorded_speed {});
}

// Guards against a report of the same incarnation, as of a drain, that discards the speed.
Test(recordedSpeeds, laterReportKeepsTheSpeed)
{
    fake_site site;
    site.addWorkers(1);
    site.apply(worker_speed_observed { workerAt(0), incarnation, 160, 9 });
    auto report = site.state().workers.at(workerAt(0)).report;
    ++report.sequence;
    report.draining = true;
    site.apply(worker_reported { report });
    cr_assert(site.state().workers.at(workerAt(0)).report.draining);
    cr_assert_eq(speedOf(site.state(), 0).slownessPercent, 160);
}

// Guards against members that read different speeds from the log or from a snapshot than the leader has proposed.
Test(recordedSpeeds, commandAndSnapshotAreDecodedAsEncoded)
{
    fake_site site;
    site.addWorkers(2);
    const auto batch
        = decodeBatch(encodeBatch({ site.nowMs(), { worker_speed_observed { workerAt(1), incarnation, 47, 12 } } }));
    site.apply(batch.commands.front());
    const auto state = decodeState(encodeState(site.state()));
    cr_assert(speedOf(state, 0) == recorded_speed {});
    cr_assert(speedOf(state, 1) == (recorded_speed { 47, 12 }));
}
