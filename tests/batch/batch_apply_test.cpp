#include "chervilport/batch/batch_codec.h"
#include "chervilport/batch/latency_objective.h"
#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

std::int64_t usedAccelerators(const batch_state& state)
{
    std::int64_t sum = 0;
    for (const auto& [number, worker] : state.workers)
        sum += worker.used.accelerators;
    return sum;
}

} // namespace

// Guards against a resent submission that runs a job a second time or changes it.
Test(batchApply, resendIsOneJob)
{
    fake_site site;
    site.addWorkers(2);
    const auto id = site.submit(normalQueue, { stepOf(2, 1) });
    site.pass();
    job_request again;
    again.id = id;
    again.steps = { stepOf(7, 2) };
    site.apply(job_submitted { again, *findQueue(site.state().config, urgentQueue), "other" });
    cr_assert_eq(site.state().jobs.size(), 1);
    cr_assert_eq(site.activeRuns(id).size(), 2);
    cr_assert(site.job(id).queue.name == normalQueue);
}

// Guards against a job shown as completed before all tasks of all steps are done.
Test(batchApply, completesAfterTheLastTask)
{
    fake_site site;
    site.addWorkers(2);
    auto second = stepOf(1, 1);
    second.dependsOn = { 0 };
    const auto id = site.submit(normalQueue, { stepOf(2, 1), second });
    site.pass();
    cr_assert_eq(site.activeRuns(id).size(), 2);
    site.endAll(id, run_end_kind::Done);
    cr_assert(site.job(id).phase == job_phase::Active);
    site.pass();
    cr_assert_eq(site.activeRuns(id).size(), 1);
    site.endAll(id, run_end_kind::Done);
    cr_assert(site.job(id).phase == job_phase::Completed);
    cr_assert_eq(usedAccelerators(site.state()), 0);
}

// Guards against a run that is counted twice when its end is committed again, by the same leader or the next one.
Test(batchApply, secondEndOfARunChangesNothing)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    site.pass();
    const auto run = site.activeRuns(id).front();
    site.end(run.run, run_end_kind::Failed);
    site.apply(run_ended { run.run, run.worker, run_end_kind::Failed, {} });
    cr_assert_eq(findTask(site.state(), run.run.task)->failures, 1);
    site.pass();
    site.apply(run_ended { run.run, run.worker, run_end_kind::Done, {} });
    cr_assert(site.job(id).phase == job_phase::Active);
    cr_assert_eq(usedAccelerators(site.state()), 1);
}

// Guards against a task that is started after its attempts are used up, and against other ends that count as attempts.
Test(batchApply, onlyFailedEndsCountAsAttempts)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    for (const auto kind : { run_end_kind::Stopped, run_end_kind::Lost, run_end_kind::GangAborted,
             run_end_kind::GangIncomplete, run_end_kind::NotStarted, run_end_kind::Failed }) {
        site.pass();
        site.endAll(id, kind);
        cr_assert(site.job(id).phase == job_phase::Active);
    }
    site.pass();
    site.endAll(id, run_end_kind::Failed);
    cr_assert(site.job(id).phase == job_phase::Failed);
    cr_assert(site.pass().assigned.empty());
}

// Guards against a gang whose failure is counted once for each member.
Test(batchApply, failedGangCountsOnce)
{
    fake_site site;
    site.addWorkers(2);
    const auto id = site.submit(normalQueue, { gangStep(3, 4) });
    site.pass();
    site.endAll(id, run_end_kind::Failed);
    cr_assert(site.job(id).phase == job_phase::Active);
    site.pass();
    site.endAll(id, run_end_kind::Failed);
    cr_assert(site.job(id).phase == job_phase::Failed);
}

// Guards against members of a done gang that are started again because only one end was committed.
Test(batchApply, oneDoneEndCompletesTheGang)
{
    fake_site site;
    site.addWorkers(2);
    const auto id = site.submit(normalQueue, { gangStep(3, 4) });
    site.pass();
    site.end(site.activeRuns(id).front().run, run_end_kind::Done);
    cr_assert(site.job(id).phase == job_phase::Completed);
    cr_assert_eq(usedAccelerators(site.state()), 0);
}

// Guards against capacity that stays in use, and runs that stay active, after another worker has started at the
// address.
Test(batchApply, newWorkerAtTheAddressEndsTheRunsOfThePreviousOne)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 8) });
    site.pass();
    const auto old = site.activeRuns(id).front().worker;
    site.apply(worker_reported { reportOf("w1", "10.0.0.0:80", 900'000) });
    cr_assert(site.activeRuns(id).empty());
    cr_assert_null(findWorker(site.state(), old));
    cr_assert_eq(site.state().workers.size(), 1);
}

// Guards against two concurrent runs of one task: a worker restarts under its id, a start request that was sent before
// its report arrived starts the run in the new incarnation, and the report ends the run in the state. The worker
// session reconciles such runs with the worker; tests/control/worker_session_test.cpp covers that.
Test(batchApply, restartUnderTheSameIdKeepsRunsUntilTheyAreReconciled)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 8) });
    site.pass();
    const auto worker = site.activeRuns(id).front().worker;
    site.apply(worker_reported { reportOf("w0", "10.0.0.0:80", 900'000) });
    cr_assert_eq(site.activeRuns(id).size(), 1);
    cr_assert_eq(findWorker(site.state(), worker)->report.incarnation, 900'000);
    cr_assert_eq(site.state().workers.size(), 1);
    cr_assert(site.pass().assigned.empty());
    site.endAll(id, run_end_kind::Lost);
    cr_assert_eq(site.pass().assigned.size(), 1);
}

// Guards against the removal of a worker that has started again under its id, by a command that was proposed for its
// earlier incarnation and committed after the report of the later one.
Test(batchApply, endOfAnIncarnationDoesNotEndTheNextOne)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(1, 8) });
    const auto& worker = site.state().workers.begin()->second;
    const auto earlier = worker.report.incarnation;
    site.apply(worker_reported { reportOf("w0", worker.report.address, 900'000) });
    site.pass();
    site.apply(incarnation_ended { worker.number, earlier });
    cr_assert_eq(site.activeRuns(id).size(), 1);
    site.apply(incarnation_ended { worker.number, 900'000 });
    cr_assert(site.state().workers.empty());
    cr_assert(site.activeRuns(id).empty());
}

// Guards against a delayed report of an earlier incarnation that restores an ended worker.
Test(batchApply, delayedReportsAreIgnored)
{
    fake_site site;
    site.apply(worker_reported { reportOf("w1", "10.0.0.1:80", 900'000) });
    site.apply(worker_reported { reportOf("w1", "10.0.0.1:80", 800'000) });
    site.apply(worker_reported { reportOf("w0", "10.0.0.1:80", 700'000) });
    cr_assert_eq(site.state().workers.size(), 1);
    cr_assert_eq(site.state().workers.begin()->second.report.incarnation, 900'000);
}

// Guards against a draining worker that gets new runs because a later report does not show it as draining.
Test(batchApply, drainingIsNotReverted)
{
    fake_site site;
    auto report = reportOf("w1", "10.0.0.1:80", 900'000);
    site.apply(worker_reported { report });
    report.sequence = 5;
    report.draining = true;
    site.apply(worker_reported { report });
    report.sequence = 6;
    report.draining = false;
    site.apply(worker_reported { report });
    cr_assert(site.state().workers.begin()->second.report.draining);
}

// Guards against an older configuration, or another one of the same version, that replaces the current one.
Test(batchApply, onlyAHigherVersionReplacesTheConfiguration)
{
    fake_site site;
    auto config = site.state().config;
    config.document = "other content";
    site.apply(config_applied { config });
    cr_assert(site.state().config.document.empty());
    config.version = 9;
    site.apply(config_applied { config });
    config.version = 4;
    config.document = "older";
    site.apply(config_applied { config });
    cr_assert_eq(site.state().config.version, 9);
    cr_assert(site.state().config.document == "other content");
}

// Guards against tasks of a cancelled job that are started, and against reuse of their capacity before they have
// stopped.
Test(batchApply, cancelledJobKeepsItsCapacityUntilItsRunsEnd)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = site.submit(normalQueue, { stepOf(12, 1) });
    site.pass();
    site.apply(job_cancelled { id });
    cr_assert(site.job(id).phase == job_phase::Cancelled);
    cr_assert_eq(usedAccelerators(site.state()), 8);
    cr_assert(site.pass().assigned.empty());
    site.endAll(id, run_end_kind::Stopped);
    cr_assert_eq(usedAccelerators(site.state()), 0);
}

// Guards against a job without a service, which no worker can run: its queue is removed before the job is recorded.
Test(batchApply, jobKeepsTheQueueThatItWasSubmittedTo)
{
    fake_site site;
    site.addWorkers(1);
    auto config = site.state().config;
    const auto queue = *findQueue(config, normalQueue);
    std::erase_if(config.queues, [](const queue_config& each) { return each.name == normalQueue; });
    ++config.version;
    site.apply(config_applied { config });
    job_request request;
    request.id = "late";
    request.steps = { stepOf(1, 1) };
    site.apply(job_submitted { request, queue, "main" });
    cr_assert(site.job("late").queue == queue);
    site.pass();
    cr_assert_eq(site.activeRuns("late").size(), 1);
    // It may fail as often as its queue allowed.
    site.endAll("late", run_end_kind::Failed);
    cr_assert(site.job("late").phase == job_phase::Active);
    site.pass();
    site.endAll("late", run_end_kind::Failed);
    cr_assert(site.job("late").phase == job_phase::Failed);
}

// Guards against a job that counts as late early, and so loses its guarantee, once the configuration has removed its
// queue.
Test(batchApply, jobOfARemovedQueueKeepsItsObjective)
{
    fake_site site;
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    const auto before = objectiveMs(site.state(), site.schedulerState.estimates, site.job(id));
    auto config = site.state().config;
    config.queues.clear();
    ++config.version;
    site.apply(config_applied { config });
    cr_assert_eq(objectiveMs(site.state(), site.schedulerState.estimates, site.job(id)), before);
    const auto restored = decodeState(encodeState(site.state()));
    cr_assert_eq(objectiveMs(restored, site.schedulerState.estimates, restored.jobs.at(id)), before);
}

// Guards against cancelled ids that are forgotten by a snapshot, or kept for ever.
Test(batchApply, cancelledIdsAreKeptInASnapshotForAsLongAsEndedJobs)
{
    fake_site site;
    site.apply(job_cancelled { "early" });
    cr_assert(decodeState(encodeState(site.state())).cancelledIds == site.state().cancelledIds);
    cr_assert_eq(site.state().cancelledIds.size(), 1);
    site.advance(endedJobRetentionMs + 1);
    site.apply(job_cancelled { "other" });
    cr_assert_eq(site.state().cancelledIds.size(), 1);
    cr_assert(site.state().cancelledIds.contains("other"));
}

// Guards against the log of an earlier version that can no longer be read.
Test(batchApply, submissionOfAnEarlierVersionTakesTheConfiguredQueue)
{
    fake_site site;
    job_request request;
    request.id = "early";
    request.steps = { stepOf(1, 1) };
    const auto bytes = encodeBatch({ site.nowMs(), { job_submitted_by_name { request, urgentQueue, "main" } } });
    for (const auto& command : decodeBatch(bytes).commands)
        site.apply(command);
    cr_assert(site.job("early").queue == *findQueue(site.state().config, urgentQueue));
    cr_assert(site.job("early").workspace == "main");
}

// Guards against a log whose earlier entries get another meaning: the position of a command never changes.
Test(batchApply, positionsOfCommandsArePartOfTheLog)
{
    const std::vector<batch_command> commands { job_submitted_by_name {}, job_cancelled {}, run_assigned {},
        run_ended {}, worker_reported {}, worker_ended {}, config_applied {}, worker_crashed {}, evacuation_changed {},
        incarnation_ended {}, worker_speed_observed {}, job_submitted {} };
    cr_assert_eq(commands.size(), std::variant_size_v<batch_command>);
    for (std::size_t i = 0; i < commands.size(); ++i)
        cr_assert_eq(commands[i].index(), i);
}

// Guards against a snapshot that loses progress: a restored replica must make the same decisions as the others.
Test(batchApply, snapshotKeepsEverything)
{
    fake_site site(8);
    site.addWorkers(4);
    const auto first = site.submit(normalQueue, { gangStep(2, 4), stepOf(3, 1) });
    site.submit(urgentQueue, { stepOf(2, 2) });
    site.pass();
    site.end(site.activeRuns(first).front().run, run_end_kind::Stopped, "saved");
    const auto crashed = site.activeRuns(first).front();
    site.apply(worker_crashed { crashed.worker, { crashed.run }, {} });
    cr_assert_eq(site.state().crashes.tasks.size(), 1);
    const auto bytes = encodeState(site.state());
    const auto restored = decodeState(bytes);
    cr_assert(encodeState(restored) == bytes);
    for (const auto& [number, worker] : site.state().workers) {
        cr_assert(restored.workers.at(number).used == worker.used);
        cr_assert_eq(restored.workers.at(number).activeRuns, worker.activeRuns);
    }
    cr_assert_eq(restored.jobs.at(first).activeRuns, site.job(first).activeRuns);
}
