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
