#include "chervilport/control/worker_session.h"

#include "chervilport/batch/batch_apply.h"
#include "chervilport/control/worker_clock.h"
#include "chervilport/instance/monotonic_now.h"
#include "tests/control/fake_worker.h"

#include <algorithm>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <deque>
#include <thread>
#include <utility>

using namespace chervilport;
using namespace chervilport::control_tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t term = 5;

/// A leader with one worker and one job with one task.
struct session_fixture {
    session_fixture()
        : worker(context)
        , client(worker.client())
    {
        batch::site_config config;
        config.version = 1;
        config.services = { "pool" };
        batch::queue_config queue;
        queue.name = "q";
        queue.service = "pool";
        queue.maxAttempts = 3;
        config.queues = { queue };
        apply(batch::config_applied { config });
        batch::worker_report report;
        report.id = "w";
        report.address = "10.0.0.1:80";
        report.service = "pool";
        report.failureDomain = "west";
        report.incarnation = 10;
        report.capacity = { 1'000, 1'000, 1 };
        report.sequence = 1;
        apply(batch::worker_reported { report });
        batch::job_request request;
        request.id = "job";
        request.spec = "work";
        request.steps = { {} };
        apply(batch::job_submitted { request, "q", "main" });
    }

    void apply(batch::batch_command command) { batch::applyBatch(state, { 1'000, { std::move(command) } }); }

    void assign(std::uint32_t run) { apply(batch::run_assigned { { { "job", 0, 0, 0 }, run }, number }); }

    std::shared_ptr<worker_session> makeSession(log_time leaseEnd = {})
    {
        session_host host;
        host.context = &context;
        host.client = &client;
        host.term = term;
        host.state = [this]() -> const batch::batch_state& { return state; };
        host.mayExecute = [this] { return isLeader; };
        host.propose = [this](batch::batch_command command, const std::function<void(proposal_result)>& done) {
            asio::post(context, [this, command = std::move(command), done] {
                if (!failedProposals.empty()) {
                    const auto result = failedProposals.front();
                    failedProposals.pop_front();
                    done(result);
                    return;
                }
                proposed.push_back(command);
                apply(command);
                done(proposal_result::Committed);
            });
        };
        host.changed = [] {};
        host.started = [](const batch::run_ref&) {};
        host.progressed = [this](const batch::pace_sample& sample) { paces.push_back(sample); };
        host.ended = [](const batch::run_ref&, batch::run_end_kind) {};
        return std::make_shared<worker_session>(host, number, leaseEnd);
    }

    void runReady()
    {
        context.restart();
        context.poll();
    }

    std::vector<batch::run_end_kind> ends() const
    {
        std::vector<batch::run_end_kind> kinds;
        for (const auto& command : proposed) {
            if (const auto* const ended = std::get_if<batch::run_ended>(&command))
                kinds.push_back(ended->kind);
        }
        return kinds;
    }

    /// Starts the first run on a worker that then is silent until the lease of the run has expired. The next poll is
    /// answered and shows that the run is gone.
    std::shared_ptr<worker_session> loseRunOnSilentWorker()
    {
        assign(1);
        worker.incarnation = 10;
        worker.running = { { { { "job", 0, 0, 0 }, 1 }, "", 0 } };
        worker.pollReplies = { worker_reply::Done, worker_reply::NoResponse, worker_reply::NoResponse };
        auto session = makeSession();
        session->open();
        runReady();
        worker.heldPoll();
        runReady();
        session->tick(monotonicNow() + 60s);
        runReady();
        cr_assert_eq(ends().size(), 1);
        worker.pollReplies.clear();
        worker.running.clear();
        return session;
    }

    std::size_t crashes() const
    {
        return static_cast<std::size_t>(std::count_if(proposed.begin(), proposed.end(),
            [](const auto& command) { return std::holds_alternative<batch::worker_crashed>(command); }));
    }

    asio::io_context context;
    fake_worker worker;
    worker_client client;
    batch::batch_state state;
    batch::worker_number number { 1 };
    std::vector<batch::batch_command> proposed;
    std::vector<batch::pace_sample> paces;
    /// Results of the next proposals, which are not applied.
    std::deque<proposal_result> failedProposals;
    bool isLeader = true;
};

const batch::run_ref firstRun { { "job", 0, 0, 0 }, 1 };

} // namespace

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
    cr_assert_eq(fixture.worker.starts.front().fencingToken, term);
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
    cr_assert_eq(fixture.worker.stops.front().fencingToken, term);
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
