#include "tests/control/session_fixture.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::control_tests;
using namespace std::chrono_literals;

namespace {

const batch::run_ref secondRun { { "job", 0, 0, 0 }, 2 };

/// A worker whose first run was stopped as end 57, which is acknowledged, and that then starts again under its id
/// without a response to the poll in flight. The clock of the new incarnation is ahead of the earlier one.
struct restart_fixture : session_fixture {
    restart_fixture()
        : session(makeSession())
    {
        assign(1);
        worker.incarnation = 10;
        worker.ended = { { 57, firstRun, batch::run_end_kind::Stopped, "" } };
        session->open();
        runReady();
        cr_assert_eq(worker.polls.back().acknowledgedEnd, 57);
        worker.incarnation = 99;
        worker.clockMs = 200'000;
        worker.ended = {};
    }

    /// Starts the second run in the new incarnation, which ends it at once.
    void startAndEndSecondRun()
    {
        assign(2);
        session->startRun(secondRun);
        runReady();
        cr_assert_eq(worker.starts.size(), 1);
        worker.ended = { { 1, secondRun, batch::run_end_kind::Done, "" } };
    }

    /// Lets the poll in flight end without a response, and the session poll again.
    void loseHeldPoll()
    {
        worker.heldPollReply = worker_reply::NoResponse;
        worker.heldPoll();
        runReady();
        for (auto elapsed = 1s; elapsed < 4s; elapsed += 1s) {
            session->tick(monotonicNow() + elapsed);
            runReady();
        }
    }

    std::shared_ptr<worker_session> session;
};

} // namespace

// Guards against two runs of a task: a poll with the acknowledgement of an earlier incarnation reaches the next one,
// which discards the end of a run that the leader has not seen.
Test(workerSession, acknowledgementOfAnEarlierIncarnationDiscardsNoEndOfTheNextOne)
{
    restart_fixture fixture;
    fixture.startAndEndSecondRun();
    fixture.loseHeldPoll();
    cr_assert_eq(fixture.ends().size(), 2);
    cr_assert(fixture.ends().back() == batch::run_end_kind::Done);
}

// Guards against the same loss when the restart is recorded before a poll has reached the new incarnation.
Test(workerSession, acknowledgementIsWithheldOnceARestartIsRecorded)
{
    restart_fixture fixture;
    fixture.startAndEndSecondRun();
    auto report = fixture.state.workers.begin()->second.report;
    report.incarnation = 99;
    report.sequence = 1;
    fixture.apply(batch::worker_reported { report });
    fixture.loseHeldPoll();
    cr_assert_eq(fixture.ends().size(), 2);
    cr_assert(fixture.ends().back() == batch::run_end_kind::Done);
}

// Guards against the same loss when the worker restarts unseen between a response and the next poll, and the run was
// started in between: nothing shows yet in which incarnation.
Test(workerSession, acknowledgementWaitsUntilAllStartedRunsAreListed)
{
    session_fixture fixture;
    batch::job_request request;
    request.id = "other";
    request.steps = { {} };
    fixture.apply(batch::job_submitted { request, fixture.state.config.queues.front(), "main" });
    const batch::run_ref otherRun { { "other", 0, 0, 0 }, 1 };
    fixture.assign(1);
    fixture.worker.incarnation = 10;
    fixture.worker.running = { { firstRun, "", 0 } };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    // The poll in flight lists the end of the first run, and was answered before the other run was started.
    fixture.worker.running = {};
    fixture.worker.ended = { { 1, firstRun, batch::run_end_kind::Done, "" } };
    fixture.apply(batch::run_assigned { otherRun, fixture.number });
    session->startRun(otherRun);
    fixture.worker.heldPoll();
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), 1);
    cr_assert_eq(fixture.worker.polls.back().acknowledgedEnd, 0);
    // Once the other run is listed, the end is acknowledged.
    fixture.worker.running = { { otherRun, "", 0 } };
    fixture.worker.heldPoll();
    fixture.runReady();
    cr_assert_eq(fixture.worker.polls.back().acknowledgedEnd, 1);
}

// Guards against the same loss when a poll is overtaken by the start of a run or executed late: the worker refuses a
// poll whose fencing token is lower than that of the start.
Test(workerSession, startAfterAnUnansweredAcknowledgementRaisesTheFencingToken)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 10;
    fixture.worker.ended = { { 57, firstRun, batch::run_end_kind::Stopped, "" } };
    fixture.worker.pollReplies = { worker_reply::Done, worker_reply::NoResponse };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    const auto acknowledging = fixture.worker.polls.back();
    cr_assert_eq(acknowledging.acknowledgedEnd, 57);
    fixture.assign(2);
    session->startRun(secondRun);
    cr_assert_gt(fixture.worker.starts.back().fencingToken, acknowledging.fencingToken);
}

// Guards against the same loss when an acknowledgement without a response is repeated, and the repetition answered: the
// first one can still arrive.
Test(workerSession, startAfterARepeatedAcknowledgementRaisesTheFencingToken)
{
    session_fixture fixture;
    fixture.assign(1);
    fixture.worker.incarnation = 10;
    fixture.worker.ended = { { 57, firstRun, batch::run_end_kind::Stopped, "" } };
    fixture.worker.pollReplies = { worker_reply::Done, worker_reply::NoResponse };
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    const auto unanswered = fixture.worker.polls.back();
    cr_assert_eq(unanswered.acknowledgedEnd, 57);
    for (auto elapsed = 1s; elapsed < 4s; elapsed += 1s) {
        session->tick(monotonicNow() + elapsed);
        fixture.runReady();
    }
    cr_assert(fixture.worker.ended.empty());
    fixture.assign(2);
    session->startRun(secondRun);
    cr_assert_gt(fixture.worker.starts.back().fencingToken, unanswered.fencingToken);
}

// Guards against a session that is refused for good: the same incarnation of a worker was removed and recorded again,
// and has seen the tokens of the earlier session.
Test(workerSession, nextSessionBeginsWithAHigherFencingToken)
{
    restart_fixture fixture;
    fixture.startAndEndSecondRun();
    const auto last = fixture.worker.starts.back().fencingToken;
    fixture.session->close();
    fixture.session = fixture.makeSession();
    fixture.session->open();
    cr_assert_gt(fixture.worker.polls.back().fencingToken, last);
}
