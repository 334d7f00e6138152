#include "chervilport/control/batch_calls.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/metrics/metric_registry.h"
#include "tests/control/fake_worker.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <vector>

using namespace chervilport;
using namespace chervilport::control_tests;

namespace {

/// A batch controller whose proposals are committed or, with `isCommitting` unset, lost.
struct calls_fixture {
    calls_fixture()
        : worker(context)
    {
        batch_controller::group_link link;
        link.propose = [this](std::string payload, const command_queue::callback& done) {
            asio::post(context, [this, payload = std::move(payload), done] {
                ++proposals;
                if (isCommitting)
                    jobs->apply(payload);
                done(isCommitting ? proposal_result::Committed : proposal_result::Unknown);
            });
        };
        link.mayExecute = [] { return true; };
        jobs = std::make_shared<batch_controller>(
            context, worker_bounds {}, worker.client(), link, std::make_shared<metric_registry>());
    }

    call_result_callback recordResult()
    {
        return [this](call_result result) { results.push_back(result); };
    }

    void run()
    {
        context.restart();
        context.run();
    }

    asio::io_context context;
    fake_worker worker;
    std::shared_ptr<batch_controller> jobs;
    std::vector<call_result> results;
    int proposals = 0;
    bool isCommitting = true;
};

batch::site_config configOf(std::uint64_t version)
{
    batch::site_config config;
    config.version = version;
    config.services = { "pool" };
    batch::queue_config queue;
    queue.name = "q";
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.service = "pool";
    queue.timeoutMs = 1'000;
    config.queues = { queue };
    return config;
}

batch::worker_report reportOf(std::int64_t incarnation, std::uint64_t sequence, bool draining)
{
    batch::worker_report report;
    report.id = "w";
    report.address = "10.0.0.1:80";
    report.service = "pool";
    report.incarnation = incarnation;
    report.capacity = { 1'000, 1'000, 1 };
    report.sequence = sequence;
    report.draining = draining;
    return report;
}

void becomeLeader(batch_controller& jobs)
{
    replica_status status;
    status.role = replica_role::Leader;
    status.ready = true;
    status.term = 1;
    jobs.handleStatus(status);
}

batch::job_request requestOf(const std::string& id)
{
    batch::job_request request;
    request.id = id;
    request.steps = { {} };
    return request;
}

/// Applies the first configuration and records a worker.
void configureWithWorker(calls_fixture& fixture)
{
    applyConfig(*fixture.jobs, configOf(1), fixture.recordResult());
    fixture.run();
    reportWorker(*fixture.jobs, reportOf(10, 1, false), fixture.recordResult());
    fixture.run();
}

} // namespace

// Guards against a resent job that is proposed again, and against one that is refused.
Test(batchCalls, resendOfAJobIsAnsweredWithoutACommand)
{
    calls_fixture fixture;
    applyConfig(*fixture.jobs, configOf(1), fixture.recordResult());
    fixture.run();
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    fixture.run();
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    cr_assert_eq(fixture.results.size(), 3);
    cr_assert_eq(fixture.proposals, 2);
    cr_assert_throw(showJob(*fixture.jobs, "other"), chervilport_error);
}

// Guards against a change that is acknowledged to the operator although the leader lost its leadership before the
// commit.
Test(batchCalls, lostProposalIsNotAcknowledged)
{
    calls_fixture fixture;
    fixture.isCommitting = false;
    applyConfig(*fixture.jobs, configOf(1), fixture.recordResult());
    fixture.run();
    cr_assert(fixture.results.front() == call_result::Unknown);
    cr_assert_throw(showConfig(*fixture.jobs), chervilport_error);
}

// Guards against an old or invalid configuration that is applied, and against an old one that is refused.
Test(batchCalls, olderConfigurationIsAcknowledgedAndChangesNothing)
{
    calls_fixture fixture;
    applyConfig(*fixture.jobs, configOf(9), fixture.recordResult());
    fixture.run();
    applyConfig(*fixture.jobs, configOf(4), fixture.recordResult());
    cr_assert_eq(fixture.results.size(), 2);
    cr_assert_eq(showConfig(*fixture.jobs).version, 9);
    auto invalid = configOf(12);
    invalid.queues.front().timeoutMs = 0;
    cr_assert_throw(applyConfig(*fixture.jobs, invalid, fixture.recordResult()), chervilport_error);
    cr_assert_eq(showConfig(*fixture.jobs).version, 9);
}

// Guards against an evacuation that is acknowledged before its commit, and against an end of one that an earlier
// proposal still in the log outlives.
Test(batchCalls, evacuationIsAcknowledgedOnceItIsCommitted)
{
    calls_fixture fixture;
    fixture.isCommitting = false;
    evacuateDomain(*fixture.jobs, "west", fixture.recordResult());
    fixture.run();
    cr_assert(fixture.results.back() == call_result::Unknown);
    fixture.isCommitting = true;
    evacuateDomain(*fixture.jobs, "west", fixture.recordResult());
    restoreDomain(*fixture.jobs, "west", fixture.recordResult());
    fixture.run();
    cr_assert(fixture.results.back() == call_result::Applied);
    cr_assert(fixture.jobs->state().evacuatedDomains.empty());
}

// Guards against a worker in use that is removed, so that its tasks run twice: it has started again under its id, and
// an instance that was suspended relays the leave call of its earlier incarnation.
Test(batchCalls, lateLeaveOfAnEarlierIncarnationChangesNothing)
{
    calls_fixture fixture;
    configureWithWorker(fixture);
    reportWorker(*fixture.jobs, reportOf(10, 2, true), fixture.recordResult());
    fixture.run();
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    cr_assert(fixture.jobs->state().workers.empty());
    reportWorker(*fixture.jobs, reportOf(20, 1, false), fixture.recordResult());
    fixture.run();
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    cr_assert_eq(fixture.jobs->state().workers.size(), 1);
    cr_assert(fixture.results.back() == call_result::Applied);
}

// Guards against the same removal when the later incarnation drains as well, but not for as long as it said it would.
Test(batchCalls, leaveBeforeTheEndOfTheDrainChangesNothing)
{
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    applyConfig(*fixture.jobs, configOf(1), fixture.recordResult());
    fixture.run();
    auto report = reportOf(20, 1, true);
    report.drainRemainingMs = 60'000;
    reportWorker(*fixture.jobs, report, fixture.recordResult());
    fixture.run();
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    cr_assert_eq(fixture.jobs->state().workers.size(), 1);
}

// Guards against a worker in use that is replaced, so that its tasks run twice: another writer sends a report with its
// address, or with its id, and a service that no configuration names.
Test(batchCalls, reportOfAnUnknownServiceEndsNoWorker)
{
    calls_fixture fixture;
    configureWithWorker(fixture);
    auto foreign = reportOf(20, 1, false);
    foreign.service = "other";
    for (const auto* const id : { "w", "x" }) {
        foreign.id = id;
        reportWorker(*fixture.jobs, foreign, fixture.recordResult());
        fixture.run();
        cr_assert_eq(fixture.jobs->state().workers.size(), 1);
        const auto& recorded = fixture.jobs->state().workers.begin()->second.report;
        cr_assert(recorded.id == "w" && recorded.service == "pool");
        cr_assert(fixture.results.back() == call_result::Applied);
    }
}

// Guards against a worker that gets new runs while it drains, because its service was removed from the configuration
// for a while and its reports were ignored meanwhile.
Test(batchCalls, workerOfARemovedServiceIsStillRecordedAsDraining)
{
    calls_fixture fixture;
    configureWithWorker(fixture);
    auto without = configOf(2);
    without.services = { "later" };
    without.queues.front().service = "later";
    applyConfig(*fixture.jobs, without, fixture.recordResult());
    fixture.run();
    reportWorker(*fixture.jobs, reportOf(10, 2, true), fixture.recordResult());
    fixture.run();
    cr_assert(fixture.jobs->state().workers.begin()->second.report.draining);
}

// Guards against a job that is not shown as pending although it has not begun: its only run is assigned to a worker
// that does not answer.
Test(batchCalls, jobWithoutAConfirmedRunIsPending)
{
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    configureWithWorker(fixture);
    fixture.worker.startReplies = { worker_reply::NoResponse };
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    fixture.run();
    cr_assert_eq(fixture.worker.starts.size(), 1);
    cr_assert_eq(fixture.jobs->countPendingJobs(fixture.jobs->state().config.queues.front()), 1);
    fixture.worker.running = { { fixture.worker.starts.front().run, "", 0 } };
    fixture.worker.heldPoll();
    fixture.run();
    cr_assert_eq(fixture.jobs->countPendingJobs(fixture.jobs->state().config.queues.front()), 0);
}

// Guards against a task that runs again although it is done: its worker leaves as soon as its last run has ended, and
// the leave call arrives before the response of the poll that lists the end.
Test(batchCalls, runThatIsDoneBeforeItsWorkerLeavesIsNotRunAgain)
{
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    configureWithWorker(fixture);
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    fixture.run();
    cr_assert_eq(fixture.worker.starts.size(), 1);
    const auto run = fixture.worker.starts.front().run;
    fixture.worker.running = { { run, "", 0 } };
    fixture.worker.heldPoll();
    reportWorker(*fixture.jobs, reportOf(10, 2, true), fixture.recordResult());
    fixture.run();
    fixture.worker.running.clear();
    fixture.worker.ended = { { 1, run, batch::run_end_kind::Done, "" } };
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    cr_assert(fixture.results.back() == call_result::Applied);
    cr_assert(fixture.jobs->state().workers.empty());
    cr_assert(showJob(*fixture.jobs, "job").phase == batch::job_phase::Completed);
}

// Guards against tasks that run again although they are done: their worker lists a part of its ends when it leaves.
Test(batchCalls, workerLeavesOnceItHasListedAllItsEnds)
{
    constexpr std::uint32_t tasks = 5;
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    configureWithWorker(fixture);
    auto request = requestOf("job");
    request.steps.front().count = tasks;
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*fixture.jobs, request, resolved, fixture.recordResult());
    fixture.run();
    cr_assert_eq(fixture.worker.starts.size(), tasks);
    for (const auto& start : fixture.worker.starts)
        fixture.worker.running.push_back({ start.run, "", 0 });
    fixture.worker.heldPoll();
    reportWorker(*fixture.jobs, reportOf(10, 2, true), fixture.recordResult());
    fixture.run();
    fixture.worker.maxListedEnds = 2;
    fixture.worker.running.clear();
    for (const auto& start : fixture.worker.starts)
        fixture.worker.ended.push_back({ fixture.worker.ended.size() + 1, start.run, batch::run_end_kind::Done, "" });
    const auto results = fixture.results.size();
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    cr_assert_eq(fixture.results.size(), results);
    fixture.worker.heldPoll();
    fixture.run();
    cr_assert_eq(fixture.results.size(), results + 1);
    cr_assert(fixture.results.back() == call_result::Applied);
    cr_assert(fixture.jobs->state().workers.empty());
    cr_assert(showJob(*fixture.jobs, "job").phase == batch::job_phase::Completed);
}

// Guards against a worker that stays because it says that it leaves and then does not respond.
Test(batchCalls, workerThatLeavesWithoutAResponseIsRemoved)
{
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    configureWithWorker(fixture);
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    fixture.run();
    reportWorker(*fixture.jobs, reportOf(10, 2, true), fixture.recordResult());
    fixture.run();
    fixture.worker.pollReplies = { worker_reply::NoResponse };
    fixture.worker.heldPollReply = worker_reply::NoResponse;
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    fixture.worker.heldPoll();
    fixture.run();
    cr_assert(fixture.jobs->state().workers.empty());
    cr_assert(showJob(*fixture.jobs, "job").phase == batch::job_phase::Active);
}

// Guards against a task that runs again although it is done: the worker ends with its leave call, so that the last poll
// finds nobody, and its response to the poll in flight, which lists the end, arrives after that.
Test(batchCalls, leaveWaitsForTheResponseToThePollInFlight)
{
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    configureWithWorker(fixture);
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    fixture.run();
    const auto run = fixture.worker.starts.front().run;
    fixture.worker.running = { { run, "", 0 } };
    fixture.worker.heldPoll();
    reportWorker(*fixture.jobs, reportOf(10, 2, true), fixture.recordResult());
    fixture.run();
    fixture.worker.running.clear();
    fixture.worker.ended = { { 1, run, batch::run_end_kind::Done, "" } };
    fixture.worker.pollReplies = { worker_reply::NotSent };
    removeWorker(*fixture.jobs, "w", fixture.recordResult());
    fixture.run();
    fixture.worker.heldPoll();
    fixture.run();
    cr_assert(fixture.results.back() == call_result::Applied);
    cr_assert(fixture.jobs->state().workers.empty());
    cr_assert(showJob(*fixture.jobs, "job").phase == batch::job_phase::Completed);
}

// Guards against a job that starts after its cancellation was acknowledged: an instance that was suspended relays the
// submission seconds later, or the submission is not committed yet when the cancellation arrives.
Test(batchCalls, jobCancelledBeforeItIsRecordedNeverStarts)
{
    for (const bool isUnderWay : { false, true }) {
        calls_fixture fixture;
        becomeLeader(*fixture.jobs);
        configureWithWorker(fixture);
        const auto submit = [&] {
            const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
            submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
        };
        if (isUnderWay)
            submit();
        cancelJob(*fixture.jobs, "job", fixture.recordResult());
        fixture.run();
        cr_assert(fixture.results.back() == (isUnderWay ? call_result::Applied : call_result::NoSuchJob));
        if (!isUnderWay)
            cr_assert_throw(showJob(*fixture.jobs, "job"), chervilport_error);
        submit();
        fixture.run();
        cr_assert(showJob(*fixture.jobs, "job").phase == batch::job_phase::Cancelled);
        cr_assert(fixture.worker.starts.empty());
    }
}

// Guards against a caller who is told that its cancellation holds although it was not committed.
Test(batchCalls, uncommittedCancellationOfAnUnknownJobIsNotAcknowledged)
{
    calls_fixture fixture;
    fixture.isCommitting = false;
    cancelJob(*fixture.jobs, "job", fixture.recordResult());
    fixture.run();
    cr_assert(fixture.results.back() == call_result::Unknown);
}

// Guards against an accepted job that never starts: it was checked against a configuration that another one, which
// gives its queue another name, replaced before the job was recorded.
Test(batchCalls, jobSubmittedWhileItsQueueIsRenamedIsStarted)
{
    calls_fixture fixture;
    becomeLeader(*fixture.jobs);
    configureWithWorker(fixture);
    auto renamed = configOf(2);
    renamed.queues.front().name = "renamed";
    const batch::resolved_call resolved { &fixture.jobs->state().config.queues.front(), "main", "job" };
    applyConfig(*fixture.jobs, renamed, fixture.recordResult());
    submitJob(*fixture.jobs, requestOf("job"), resolved, fixture.recordResult());
    fixture.run();
    cr_assert(fixture.results.back() == call_result::Applied);
    cr_assert_eq(fixture.jobs->state().config.version, 2);
    cr_assert_eq(fixture.worker.starts.size(), 1);
}
