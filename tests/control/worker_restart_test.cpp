#include "tests/control/session_fixture.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::control_tests;
using namespace std::chrono_literals;

// Guards against capacity that stays occupied when the worker has restarted under the same id, and against a run that
// ends while a start request in flight can still start it there.
Test(workerSession, runsOfAnEarlierIncarnationAreReconciled)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 99;
    fixture.worker.holdPolls = false;
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert_eq(fixture.worker.stops.size(), 1);
    cr_assert(fixture.worker.stops.front().run == firstRun);
    // A poll sent after the stop was confirmed shows that the run is not on the worker.
    for (int i = 0; i < 20 && fixture.ends().empty(); ++i) {
        std::this_thread::sleep_for(10ms);
        session->tick(monotonicNow());
        fixture.runReady();
    }
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(!fixture.state.workers.empty());
    cr_assert_eq(fixture.state.jobs.at("job").activeRuns, 0);
    cr_assert(fixture.worker.starts.empty());
}

// Guards against two runs of a task at once: the start request reached the new incarnation of a restarted worker, which
// runs it, and the leader ends the run and places the task again.
Test(workerSession, runOfTheNewIncarnationIsKept)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 99;
    fixture.worker.running = { { firstRun, "", 0 } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert(fixture.ends().empty());
    cr_assert(fixture.worker.stops.empty());
    cr_assert(session->hasStarted(firstRun));
}

// Guards against an end of the new incarnation that is acknowledged with a number of the earlier one before it is
// committed.
Test(workerSession, acknowledgedEndIsResetByANewIncarnation)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 10;
    fixture.worker.ended = { { 57, firstRun, batch::run_end_kind::Failed, "" } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert_eq(fixture.worker.polls.back().acknowledgedEnd, 57);
    // The worker restarts, and a start request reaches the new incarnation, which does not report its start time in
    // responses to polls.
    fixture.worker.incarnation = 0;
    fixture.worker.clockMs = 50;
    fixture.worker.ended = {};
    fixture.worker.running = { { { { "job", 0, 0, 0 }, 2 }, "", 0 } };
    fixture.assign(2);
    session->startRun({ { "job", 0, 0, 0 }, 2 });
    fixture.runReady();
    cr_assert(static_cast<bool>(fixture.worker.heldPoll));
    fixture.worker.heldPoll();
    fixture.runReady();
    cr_assert_eq(fixture.worker.polls.back().acknowledgedEnd, 0);
}

// Guards against two runs of a task at once: an earlier leader's start request had no response and can still be
// executed, so unsent requests of the new leader do not prove that the run has not started.
Test(workerSession, unsentRequestsOfANewLeaderDoNotEndTheRun)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.startReplies = { worker_reply::NotSent, worker_reply::NotSent, worker_reply::NotSent };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    for (int i = 0; i < 3; ++i) {
        session->tick(monotonicNow());
        fixture.runReady();
    }
    cr_assert(fixture.ends().empty());
    cr_assert_gt(fixture.worker.starts.size(), 2);
}

// Guards against a stop confirmed by an earlier incarnation of the worker that is taken as valid for the new one, where
// the run could still start.
Test(workerSession, stopConfirmedByAnEarlierIncarnationIsRepeated)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 10;
    fixture.worker.running = { { firstRun, "", 0 } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert(static_cast<bool>(fixture.worker.heldPoll));
    // The stop request is in flight when a poll shows that the worker has restarted.
    fixture.worker.holdStops = true;
    session->stopRun(firstRun);
    cr_assert_eq(fixture.worker.stops.size(), 1);
    fixture.worker.incarnation = 99;
    fixture.worker.running = {};
    fixture.worker.holdPolls = false;
    fixture.worker.heldPoll();
    fixture.worker.holdStops = false;
    fixture.worker.heldStop();
    fixture.runReady();
    session->tick(monotonicNow());
    fixture.runReady();
    cr_assert_eq(fixture.worker.stops.size(), 2);
}

// Guards against a run that is stopped before its start request is sent because it was assigned just after the worker
// had restarted.
Test(workerSession, runAssignedAfterARestartIsStarted)
{
    session_fixture fixture;
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    auto report = fixture.state.workers.begin()->second.report;
    report.incarnation = 99;
    report.sequence = 1;
    fixture.apply(batch::worker_reported { report });
    fixture.worker.incarnation = 99;
    fixture.worker.clockMs = 50;
    fixture.assign(1);
    session->startRun(firstRun);
    fixture.runReady();
    cr_assert(fixture.worker.stops.empty());
    cr_assert_eq(fixture.worker.starts.size(), 1);
    cr_assert_leq(fixture.worker.starts.front().leaseUntilMs, 50 + 10'000);
}

// Guards against a crash that is not counted because the lease of the run expired before the worker was back.
Test(workerSession, crashOfASilentWorkerIsReportedWhenItIsBack)
{
    session_fixture fixture;
    const auto session = fixture.loseRunOnSilentWorker();
    cr_assert_eq(fixture.crashes(), 0);
    fixture.worker.incarnation = 99;
    session->tick(monotonicNow() + 61s);
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 1);
}

// Guards against a worker that was only silent for a while and is taken to have crashed.
Test(workerSession, silentWorkerHasNotCrashed)
{
    session_fixture fixture;
    const auto session = fixture.loseRunOnSilentWorker();
    session->tick(monotonicNow() + 61s);
    fixture.runReady();
    session->reportCrash();
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 0);
}

// Guards against a crash that is counted for a run whose start request the new incarnation accepted.
Test(workerSession, runOfTheNewIncarnationHasNotCrashed)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 10;
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert(session->hasStarted(firstRun));
    fixture.worker.incarnation = 99;
    fixture.worker.running = { { firstRun, "", 0 } };
    fixture.worker.heldPoll();
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 0);
}

// Guards against a run that may never have started and is reported as one that its worker executed when it crashed.
Test(workerSession, runWithoutAResponseIsReportedAsUnconfirmed)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.startReplies = { worker_reply::NoResponse };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    session->reportCrash();
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 1);
    const auto crash = std::get<batch::worker_crashed>(fixture.proposed.back());
    cr_assert(crash.runs.empty());
    cr_assert(crash.unconfirmedRuns == std::vector { firstRun });
}

// Guards against the end of a worker that had announced it and is counted as a crash.
Test(workerSession, endOfADrainingWorkerIsNoCrash)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.running = { { firstRun, "", 0 } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    auto report = fixture.state.workers.begin()->second.report;
    report.draining = true;
    report.sequence = 2;
    fixture.apply(batch::worker_reported { report });
    session->reportCrash();
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 0);
}

// Guards against two runs of a task at once: the worker has started again elsewhere under its id, and another worker
// answers a request that was sent to its earlier address.
Test(workerSession, mismatchAtAnEarlierAddressDoesNotEndTheCurrentIncarnation)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.pollReplies = { worker_reply::IncarnationMismatch };
    fixture.worker.incarnation = 99;
    fixture.worker.running = { { firstRun, "", 0 } };
    const auto session = fixture.makeSession(monotonicNow() + 60s);
    session->open();
    auto moved = fixture.state.workers.at(fixture.number).report;
    moved.address = "10.0.0.2:80";
    moved.incarnation = 99;
    fixture.apply(batch::worker_reported { moved });
    fixture.runReady();
    cr_assert_eq(fixture.state.workers.size(), 1);
    session->tick(monotonicNow() + 1s);
    fixture.runReady();
    cr_assert(session->hasStarted(firstRun));
    cr_assert(fixture.ends().empty());
}

// Guards against a worker that gets no work any more: the end of its incarnation was not committed, and its session
// goes on to ignore all responses.
Test(workerSession, uncommittedEndOfAnIncarnationIsTriedAgain)
{
    session_fixture fixture;
    fixture.worker.pollReplies = { worker_reply::IncarnationMismatch, worker_reply::IncarnationMismatch };
    fixture.failedProposals = { proposal_result::Unknown };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert_eq(fixture.state.workers.size(), 1);
    session->tick(monotonicNow() + 1s);
    fixture.runReady();
    cr_assert(fixture.state.workers.empty());
}

// Guards against a job that is given up for a crash that its run did not see: the lease of the run expired on a worker
// that was cut off, and the next incarnation, which the leader had not seen yet, had executed the run.
Test(workerSession, expiredRunOfTheNewIncarnationHasNotCrashed)
{
    session_fixture fixture;
    const auto session = fixture.loseRunOnSilentWorker();
    fixture.worker.incarnation = 99;
    fixture.worker.ended = { { 1, firstRun, batch::run_end_kind::Lost, "" } };
    session->tick(monotonicNow() + 61s);
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 0);
}

// Guards against two runs of a task at once: a start request without a response reaches a new incarnation late. The
// lease there begins when the request arrives, and not, as on the clock of the earlier incarnation, when it is sent.
Test(workerSession, leaseOfAnUnansweredStartBeginsWhenItArrivesAtTheLatest)
{
    session_fixture fixture;
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    fixture.assign(1);
    fixture.worker.holdStarts = true;
    fixture.worker.startReplies = { worker_reply::NoResponse };
    fixture.worker.pollReplies.assign(40, worker_reply::NoResponse);
    const auto sentAt = monotonicNow();
    session->startRun(firstRun);
    fixture.worker.heldPoll();
    std::this_thread::sleep_for(300ms);
    fixture.worker.heldStart();
    // A clock that is 2 % slow ends a lease of 10 s after 10.2 s.
    session->tick(sentAt + 10'450ms);
    fixture.runReady();
    cr_assert(fixture.ends().empty());
    session->tick(sentAt + 11s);
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), 1);
}

// Guards against a worker over its capacity: it still runs what the leader has given up, and gets new runs before that
// has ended.
Test(workerSession, runThatIsNotTrackedDelaysStartsUntilItHasEnded)
{
    session_fixture fixture;
    const batch::run_ref stray { { "gone", 0, 0, 0 }, 1 };
    fixture.worker.incarnation = 10;
    fixture.worker.running = { { stray, "", 0 } };
    fixture.assign(1);
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert(!session->isUsable());
    cr_assert(fixture.worker.starts.empty());
    cr_assert_geq(fixture.worker.stops.size(), 1);
    cr_assert(fixture.worker.stops.front().run == stray);
    fixture.worker.running.clear();
    fixture.worker.heldPoll();
    fixture.runReady();
    cr_assert(session->isUsable());
    cr_assert_eq(fixture.worker.starts.size(), 1);
}
