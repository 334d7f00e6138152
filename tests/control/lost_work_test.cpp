#include "chervilport/control/lost_work.h"

#include "chervilport/metrics/metric_registry.h"
#include "tests/control/session_fixture.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::control_tests;
using namespace std::chrono_literals;

namespace {

/// Returns a state with one task of 4 cores and 2 accelerators that has started at 1 s.
batch::batch_state stateWithRun(bool checkpointing)
{
    batch::batch_state state;
    batch::worker_report report;
    report.id = "w";
    report.incarnation = 1;
    report.sequence = 1;
    batch::job_request request;
    request.id = "job";
    batch::step_spec step;
    step.demand = { 4'000, 1'000, 2 };
    step.checkpointing = checkpointing;
    request.steps = { step };
    batch::applyBatch(state,
        { 1'000,
            { batch::worker_reported { report }, batch::job_submitted { request, { "q" }, "main" },
                batch::run_assigned { firstRun, batch::worker_number { 1 } } } });
    return state;
}

std::string countedAfter(const batch::batch_state& state, batch::run_end_kind kind)
{
    metric_registry metrics;
    const batch::command_batch batch { 6'000, { batch::run_ended { firstRun, batch::worker_number { 1 }, kind, {} } } };
    countLostWork(
        state, batch, [](const batch::run_ended& ended) { return causeOf(ended.kind); }, metrics);
    return metrics.render();
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

// Guards against work that is thrown away without a trace of the cause: 5 s of 4 cores and 2 accelerators are 100
// core-seconds.
Test(lostWork, endIsCountedByCauseAndQueue)
{
    const auto text = countedAfter(stateWithRun(false), batch::run_end_kind::Failed);
    cr_assert(contains(text, "chervilport_core_seconds_lost_total"));
    cr_assert(contains(text, "cause=\"task_failed\""));
    cr_assert(contains(text, "queue=\"q\""));
    cr_assert(contains(text, " 100\n"));
}

// Guards against saved work that counts as lost.
Test(lostWork, checkpointsLimitTheLoss)
{
    const auto text = countedAfter(stateWithRun(true), batch::run_end_kind::Stopped);
    cr_assert(contains(text, "cause=\"stopped\""));
    cr_assert(contains(text, " 20\n"));
}

// Guards against successful runs that count as lost work.
Test(lostWork, doneRunsAreNotCounted)
{
    cr_assert(!contains(countedAfter(stateWithRun(false), batch::run_end_kind::Done), "core_seconds_lost"));
}

// Guards against preempted runs that are counted as failures of their gang: the worker reports them as aborted when
// another member was stopped first. A task that failed before the stop arrived did fail.
Test(lostWork, causeOfAStopGoesBeforeTheKindOfTheEnd)
{
    session_fixture fixture;
    fixture.assign(1);
    const auto session = fixture.makeSession();
    session->open();
    fixture.runReady();
    cr_assert(session->lossCauseOf(firstRun, batch::run_end_kind::GangAborted) == loss_cause::GangMemberEnded);
    session->stopRun(firstRun, loss_cause::Preempted);
    session->stopRun(firstRun, loss_cause::Cancelled);
    cr_assert(session->lossCauseOf(firstRun, batch::run_end_kind::GangAborted) == loss_cause::Preempted);
    cr_assert(session->lossCauseOf(firstRun, batch::run_end_kind::Failed) == loss_cause::TaskFailed);
}
