#include "chervilport/control/leader_epoch.h"
#include "tests/control/session_fixture.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::control_tests;
using namespace std::chrono_literals;

// Guards against a start before the first poll of the term, which could exceed the capacity of the worker.
Test(workerSession, pollsBeforeItStartsRuns)
{
    session_fixture fixture;
    fixture.assign(1);
    const auto session = fixture.makeSession();
    session->open();
    cr_assert(!session->isUsable());
    cr_assert(fixture.worker.starts.empty());
    fixture.runReady();
    cr_assert(session->isUsable());
    cr_assert_eq(fixture.worker.starts.size(), 1);
    cr_assert_eq(fixture.worker.starts.front().fencingToken, valueOf({ term, 1 }));
    cr_assert(fixture.worker.starts.front().spec == "work");
}

// Guards against a start in a failure domain that was evacuated after the run was assigned.
Test(workerSession, startIsWithheldInAnEvacuatedDomain)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.apply(batch::evacuation_changed { "west", true });
    const auto session = fixture.makeSession();
    session->startRun(firstRun);
    fixture.runReady();
    cr_assert(fixture.worker.starts.empty());
    cr_assert(fixture.ends() == std::vector { batch::run_end_kind::NotStarted });
}

// Guards against a start request that is sent again to a worker that has begun to drain. A stop has to show that the
// first request did not start the run.
Test(workerSession, retryIsWithheldOnADrainingWorker)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.startReplies = { worker_reply::NoResponse };
    const auto session = fixture.makeSession();
    session->startRun(firstRun);
    fixture.runReady();
    cr_assert_eq(fixture.worker.starts.size(), 1);
    auto report = batch::findWorker(fixture.state, fixture.number)->report;
    report.draining = true;
    ++report.sequence;
    fixture.apply(batch::worker_reported { report });
    session->tick(monotonicNow() + 1s);
    fixture.runReady();
    cr_assert_eq(fixture.worker.starts.size(), 1);
    cr_assert_eq(fixture.worker.stops.size(), 1);
}

// Guards against a second start of a run that is already running when a new leader takes over.
Test(workerSession, newLeaderAdoptsRunningTasks)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.running = { { firstRun, "saved", 40 } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert(fixture.worker.starts.empty());
    cr_assert(session->hasStarted(firstRun));
}

// Guards against the loss of an end whose proposal failed: once the worker has forgotten an acknowledged end, the run
// seems to be missing and its task runs a second time.
Test(workerSession, endWithAFailedProposalIsListedAgain)
{
    for (const auto failure : { proposal_result::NotCommitted, proposal_result::Unknown }) {
        session_fixture fixture;
        fixture.assign(1);
        fixture.worker.ended = { { 1, firstRun, batch::run_end_kind::Done, "" } };
        fixture.failedProposals = { failure };
        const auto session = fixture.makeSession();
        session->open();
        fixture.runReady();
        cr_assert(fixture.ends().empty());
        for (auto elapsed = 0s; elapsed < 3s; elapsed += 1s) {
            session->tick(monotonicNow() + elapsed);
            fixture.runReady();
        }
        cr_assert_eq(fixture.ends().size(), 1);
        cr_assert(fixture.ends().front() == batch::run_end_kind::Done);
        cr_assert_eq(fixture.worker.polls.at(1).acknowledgedEnd, 0);
        cr_assert_eq(fixture.worker.polls.back().acknowledgedEnd, 1);
    }
}

// Guards against a run whose start was given up and whose end is never committed, which would keep its task waiting.
Test(workerSession, runThatWasNotStartedEndsAfterAFailedProposal)
{
    session_fixture fixture;
    fixture.worker.startReplies = { worker_reply::NotSent, worker_reply::NotSent };
    fixture.failedProposals = { proposal_result::NotCommitted };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    fixture.assign(1);
    session->startRun(firstRun);
    fixture.runReady();
    for (auto elapsed = 0s; elapsed < 4s; elapsed += 1s) {
        session->tick(monotonicNow() + elapsed);
        fixture.runReady();
        std::this_thread::sleep_for(60ms);
        if (fixture.worker.heldPoll)
            std::exchange(fixture.worker.heldPoll, nullptr)();
    }
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(fixture.ends().front() == batch::run_end_kind::NotStarted);
}

// Guards against an end that is acknowledged before it is committed, and against one that is never acknowledged.
Test(workerSession, endIsCommittedBeforeItIsAcknowledged)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.ended = { { 7, firstRun, batch::run_end_kind::Done, "" } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(fixture.state.jobs.at("job").phase == batch::job_phase::Completed);
    cr_assert_eq(fixture.worker.polls.size(), 2);
    cr_assert_eq(fixture.worker.polls[0].acknowledgedEnd, 0);
    cr_assert_eq(fixture.worker.polls[1].acknowledgedEnd, 7);
}

// Guards against a task that is placed on another worker while a start request without a response can still be
// executed.
Test(workerSession, unansweredStartIsFollowedByAStop)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.startReplies
        = { worker_reply::NoResponse, worker_reply::NoResponse, worker_reply::NoResponse, worker_reply::NoResponse };
    const auto session = fixture.makeSession();
    session->open();
    for (int i = 0; i < 6; ++i) {
        fixture.runReady();
        session->tick(monotonicNow() + i * 1s);
    }
    cr_assert_eq(fixture.worker.starts.size(), 4);
    cr_assert_geq(fixture.worker.stops.size(), 1);
    cr_assert_eq(fixture.worker.stops.front().fencingToken, valueOf({ term, 1 }));
}

// Guards against a run that stays assigned although no start request for it left the leader.
Test(workerSession, unsentStartEndsTheRunAtOnce)
{
    session_fixture fixture;
    fixture.worker.startReplies = { worker_reply::NotSent, worker_reply::NotSent };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    // This leader assigned the run itself; for an earlier leader's run, a start request could have been sent before.
    fixture.assign(1);
    session->startRun(firstRun);
    for (int i = 0; i < 3; ++i) {
        fixture.runReady();
        session->tick(monotonicNow());
    }
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(fixture.ends().front() == batch::run_end_kind::NotStarted);
}

// Guards against two runs of a task at once: an unreachable worker keeps its runs until its lease has expired.
Test(workerSession, runsAreLostOnlyAfterTheLease)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.pollReplies = { worker_reply::NoResponse, worker_reply::NoResponse, worker_reply::NoResponse };
    const auto now = monotonicNow();
    const auto session = fixture.makeSession(now + 10s);
    session->open();
    fixture.runReady();
    session->tick(now + 9s);
    fixture.runReady();
    cr_assert(fixture.ends().empty());
    session->tick(now + 11s);
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(fixture.ends().front() == batch::run_end_kind::Lost);
}

// Guards against a lost worker whose runs never end because each failed poll renews its lease.
Test(workerSession, failedPollsDoNotRenewTheLease)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.running = { { firstRun, "", 10 } };
    fixture.worker.holdPolls = false;
    fixture.worker.pollReplies = { worker_reply::Done, worker_reply::NoResponse, worker_reply::NoResponse };
    const auto session = fixture.makeSession();
    session->open();
    fixture.context.restart();
    fixture.context.run_one();
    fixture.context.run_one();
    cr_assert_eq(fixture.worker.polls.size(), 2);
    cr_assert(fixture.worker.polls[1].leaseUntilMs.has_value());
    session->tick(monotonicNow() + 1s);
    cr_assert_eq(fixture.worker.polls.size(), 3);
    cr_assert(!fixture.worker.polls[2].leaseUntilMs.has_value());
    cr_assert(fixture.ends().empty());
    // A worker that was silent for a shorter time than its lease keeps its run.
    const auto maxLease = worker_bounds {}.maxLease;
    session->tick(monotonicNow() + maxLease - 1s);
    fixture.runReady();
    cr_assert(fixture.ends().empty());
    session->tick(monotonicNow() + localLeaseTime(maxLease) + 1s);
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(fixture.ends().front() == batch::run_end_kind::Lost);
}

// Guards against requests of an instance that may no longer be the leader.
Test(workerSession, sendsNothingWithoutLeadership)
{
    session_fixture fixture;
    fixture.assign(1);
    const auto session = fixture.makeSession();
    fixture.isLeader = false;
    session->open();
    session->tick(monotonicNow());
    fixture.runReady();
    cr_assert(fixture.worker.polls.empty());
    cr_assert(fixture.worker.starts.empty());
}

// Guards against a run unknown to the leader that occupies capacity forever.
Test(workerSession, orphanRunIsStopped)
{
    session_fixture fixture;
    const batch::run_ref orphan { { "gone", 0, 0, 3 }, 2 };
    fixture.worker.running = { { orphan, "", 0 } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert_eq(fixture.worker.stops.size(), 1);
    cr_assert(fixture.worker.stops.front().run == orphan);
}

// Guards against a start that brings a worker over its capacity: the worker could not be reached when the run was
// assigned, and has shrunk until it answers.
Test(workerSession, startOnAWorkerThatHasShrunkIsWithheld)
{
    session_fixture fixture;
    batch::job_request request;
    request.id = "large";
    request.steps = { {} };
    request.steps.front().demand = { 800, 0, 0 };
    fixture.apply(batch::job_submitted { request, fixture.state.config.queues.front(), "main" });
    fixture.worker.pollReplies = { worker_reply::NoResponse };
    const auto session = fixture.makeSession(monotonicNow() + 60s);
    session->open();
    fixture.runReady();
    const batch::run_ref run { { "large", 0, 0, 0 }, 1 };
    fixture.apply(batch::run_assigned { run, fixture.number });
    session->startRun(run);
    auto report = fixture.state.workers.at(fixture.number).report;
    report.capacity.milliCores = 500;
    ++report.sequence;
    fixture.apply(batch::worker_reported { report });
    session->tick(monotonicNow() + 1s);
    fixture.runReady();
    cr_assert(fixture.worker.starts.empty());
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert(fixture.ends().front() == batch::run_end_kind::NotStarted);
    cr_assert_eq(fixture.state.workers.at(fixture.number).activeRuns, 0);
}

// Guards against a start on a worker that may not run the step: it started again under its id as another kind, and the
// assignment, planned for its former kind, follows its report in the log.
Test(workerSession, startOnAWorkerThatReturnsAsAnotherKindIsWithheld)
{
    for (const bool hasOtherService : { false, true }) {
        session_fixture fixture;
        batch::job_request request;
        request.id = "labelled";
        request.steps = { {} };
        request.steps.front().requiredLabel = "large";
        auto report = fixture.state.workers.at(fixture.number).report;
        report.labels = { "large" };
        ++report.sequence;
        fixture.apply(batch::worker_reported { report });
        fixture.apply(batch::job_submitted { request, fixture.state.config.queues.front(), "main" });
        const auto session = fixture.makeSession();
        session->open();
        fixture.runReady();
        const batch::run_ref run { { "labelled", 0, 0, 0 }, 1 };
        ++report.incarnation;
        if (hasOtherService)
            report.service = "other";
        else
            report.labels = { "small" };
        fixture.apply(batch::worker_reported { report });
        fixture.apply(batch::run_assigned { run, fixture.number });
        session->startRun(run);
        fixture.runReady();
        cr_assert(fixture.worker.starts.empty());
        cr_assert_eq(fixture.ends().size(), 1);
        cr_assert(fixture.ends().front() == batch::run_end_kind::NotStarted);
    }
}
