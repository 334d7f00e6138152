#include "tests/control/session_fixture.h"

#include <criterion/criterion.h>
#include <optional>

using namespace chervilport;
using namespace chervilport::control_tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t tasks = 5;
/// Time after which no start request of an earlier leader can arrive, with a margin.
constexpr auto requestDelay = 1'050ms;
/// Time after which a poll shows a confirmed run as missing, with a margin.
constexpr auto confirmationAge = 60ms;

batch::run_ref runOf(std::uint32_t index) { return { { "wide", 0, 0, index }, 1 }; }

reported_end doneAs(std::uint64_t number, std::uint32_t index)
{
    return { number, runOf(index), batch::run_end_kind::Done, "" };
}

/// A worker that lists two ends at a time, and a job whose tasks run on it.
struct list_fixture : session_fixture {
    list_fixture()
    {
        batch::job_request request;
        request.id = "wide";
        request.spec = "work";
        request.steps = { {} };
        request.steps.front().count = tasks;
        apply(batch::job_submitted { request, state.config.queues.front(), "main" });
        worker.incarnation = 10;
        worker.maxListedEnds = 2;
        worker.holdPolls = false;
        for (std::uint32_t index = 0; index < tasks; ++index)
            apply(batch::run_assigned { runOf(index), number });
    }

    /// Lets all runs end as done while the leader does not poll.
    void finishAllRuns()
    {
        worker.running = {};
        for (std::uint32_t index = 0; index < tasks; ++index)
            worker.ended.push_back(doneAs(index + 1, index));
    }

    /// Ticks the session this often, with pauses.
    void tick(int times, std::chrono::milliseconds pause)
    {
        for (int i = 0; i < times; ++i) {
            std::this_thread::sleep_for(pause);
            session->tick(monotonicNow());
            runReady();
        }
    }

    void expectAllDone() const
    {
        cr_assert(ends() == std::vector(tasks, batch::run_end_kind::Done));
        cr_assert(state.jobs.at("wide").phase == batch::job_phase::Completed);
    }

    std::shared_ptr<worker_session> session;
};

} // namespace

// Guards against a second run of tasks that are done: a new leader takes a list of ends that the worker has cut short
// for all of them, and the runs of the others for missing.
Test(workerSession, newLeaderReadsAllEndsThatAWorkerListsAFewAtATime)
{
    list_fixture fixture;
    fixture.finishAllRuns();
    fixture.session = fixture.makeSession();
    fixture.session->open();
    fixture.runReady();
    fixture.tick(3, requestDelay / 2);
    fixture.tick(3, confirmationAge);
    cr_assert(fixture.worker.starts.empty());
    cr_assert(fixture.worker.stops.empty());
    fixture.expectAllDone();
    cr_assert(fixture.worker.ended.empty());
}

// Guards against the same on a leader that was cut off from the worker while its runs ended.
Test(workerSession, endsBeyondTheListedOnesAreNotMissingAfterAPartition)
{
    list_fixture fixture;
    for (std::uint32_t index = 0; index < tasks; ++index)
        fixture.worker.running.push_back({ runOf(index), "", 0 });
    fixture.session = fixture.makeSession();
    fixture.worker.holdPolls = true;
    fixture.session->open();
    fixture.runReady();
    std::this_thread::sleep_for(requestDelay);
    fixture.worker.heldPollReply = worker_reply::NoResponse;
    fixture.finishAllRuns();
    fixture.worker.holdPolls = false;
    fixture.worker.heldPoll();
    fixture.runReady();
    fixture.session->tick(monotonicNow() + 1s);
    fixture.runReady();
    fixture.tick(6, confirmationAge);
    cr_assert(fixture.worker.stops.empty());
    fixture.expectAllDone();
}

// Guards against two runs of a task: the ends that a worker lists first are acknowledged while a start request of an
// earlier leader can still reach the next incarnation, which then discards the end of its run.
Test(workerSession, partialListIsAcknowledgedOnceNoStartCanReachALaterIncarnation)
{
    list_fixture fixture;
    fixture.finishAllRuns();
    fixture.session = fixture.makeSession();
    fixture.session->open();
    fixture.runReady();
    fixture.tick(3, confirmationAge);
    cr_assert_eq(fixture.worker.ended.size(), tasks);
    for (const auto& request : fixture.worker.polls)
        cr_assert_eq(request.acknowledgedEnd, 0);
    fixture.tick(3, requestDelay / 2);
    cr_assert(fixture.worker.ended.empty());
}

// Guards against a leader that polls without a pause: a worker answers at once while it has ends that are not
// acknowledged.
Test(workerSession, partialListThatCannotBeAcknowledgedYetIsPolledAfterAPause)
{
    list_fixture fixture;
    fixture.finishAllRuns();
    fixture.session = fixture.makeSession();
    fixture.session->open();
    fixture.runReady();
    const auto polls = fixture.worker.polls.size();
    cr_assert_leq(polls, 3);
    fixture.session->tick(monotonicNow());
    fixture.runReady();
    cr_assert_eq(fixture.worker.polls.size(), polls);
}

// Guards against acknowledgements that stay withheld as long as new runs begin and end unseen: a worker that has listed
// a part of its ends gets no new runs.
Test(workerSession, workerWithEndsThatAreNotListedGetsNoRuns)
{
    list_fixture fixture;
    fixture.finishAllRuns();
    fixture.session = fixture.makeSession();
    fixture.session->open();
    fixture.runReady();
    cr_assert_not(fixture.session->isUsable());
    fixture.assign(1);
    fixture.session->startRun(firstRun);
    fixture.runReady();
    cr_assert(fixture.worker.starts.empty());
    fixture.tick(3, requestDelay / 2);
    cr_assert(fixture.session->isUsable());
    cr_assert_eq(fixture.worker.starts.size(), 1);
    cr_assert(fixture.worker.starts.front().run == firstRun);
}

// Guards against a job that is given up for crashes that it had no part in: a worker is back under its id and has
// executed more runs by then than it lists at a time.
Test(workerSession, runBeyondTheListedEndsOfTheNextIncarnationHasNotCrashed)
{
    list_fixture fixture;
    for (std::uint32_t index = 0; index < tasks; ++index)
        fixture.worker.running.push_back({ runOf(index), "", 0 });
    fixture.session = fixture.makeSession();
    fixture.worker.holdPolls = true;
    fixture.session->open();
    fixture.runReady();
    fixture.worker.incarnation = 99;
    fixture.finishAllRuns();
    fixture.worker.heldPoll();
    fixture.runReady();
    cr_assert_eq(fixture.crashes(), 0);
    fixture.worker.holdPolls = false;
    fixture.tick(4, requestDelay / 2);
    fixture.expectAllDone();
}

// Guards against a second run of a task that is done: the row with its end cannot be read, and its run is taken for
// missing, or the end is discarded with those after it.
Test(workerSession, runIsNotMissingWhileRowsCannotBeRead)
{
    list_fixture fixture;
    fixture.worker.maxListedEnds = 500;
    for (std::uint32_t index = 0; index < tasks; ++index)
        fixture.worker.running.push_back({ runOf(index), "", 0 });
    fixture.session = fixture.makeSession(monotonicNow() + 60s);
    fixture.worker.holdPolls = true;
    fixture.session->open();
    fixture.runReady();
    std::this_thread::sleep_for(confirmationAge);
    // The end of the first run is left out.
    fixture.worker.holdPolls = false;
    fixture.worker.hasUnreadableRows = true;
    fixture.finishAllRuns();
    const auto first = fixture.worker.ended.front();
    fixture.worker.ended.erase(fixture.worker.ended.begin());
    fixture.worker.heldPoll();
    fixture.runReady();
    fixture.session->tick(monotonicNow() + 1s);
    fixture.runReady();
    cr_assert_eq(fixture.ends().size(), tasks - 1);
    cr_assert_not(fixture.session->isUsable());
    cr_assert(fixture.worker.stops.empty());
    cr_assert_eq(fixture.worker.polls.back().acknowledgedEnd, 0);
    cr_assert_not(fixture.worker.polls.back().leaseUntilMs.has_value());
    // Once all rows can be read, the run ends as done.
    fixture.worker.hasUnreadableRows = false;
    fixture.worker.ended.insert(fixture.worker.ended.begin(), first);
    fixture.session->tick(monotonicNow() + 3s);
    fixture.runReady();
    fixture.expectAllDone();
    cr_assert(fixture.worker.ended.empty());
}

// Guards against runs that end as lost when their worker leaves, since the leader may not poll it at that moment.
Test(workerSession, lastEndsAreNotReadByALeaderThatMayNotExecute)
{
    list_fixture fixture;
    for (std::uint32_t index = 0; index < tasks; ++index)
        fixture.worker.running.push_back({ runOf(index), "", 0 });
    fixture.worker.holdPolls = true;
    fixture.session = fixture.makeSession();
    fixture.session->open();
    fixture.runReady();
    fixture.isLeader = false;
    std::optional<bool> hasAllEnds;
    fixture.session->collectLastEnds([&](bool all) { hasAllEnds = all; });
    fixture.runReady();
    cr_assert(hasAllEnds.has_value());
    cr_assert_not(*hasAllEnds);
}
