#include "tests/scheduling/fake_domain.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::scheduling_tests;

namespace {

fake_domain makeDomain(std::int32_t racks, std::int32_t perRack)
{
    fake_domain domain;
    domain.configure({ { .name = "main" } });
    domain.joinFleet(racks, perRack);
    return domain;
}

} // namespace

// Guards against a gang that starts in parts or on a fleet that cannot hold all of it.
Test(gang, startsAllTasksOrNone)
{
    auto domain = makeDomain(2, 2);
    const auto first = domain.submit(gangOf(24));
    cr_assert_eq(domain.tasksOf(first).size(), 24);
    const auto second = domain.submit(gangOf(9));
    cr_assert(domain.stateOf(second) == job_state::Queued);
    domain.confirmAll();
    cr_assert(domain.stateOf(first) == job_state::Running);
    domain.finish(first);
    cr_assert(domain.stateOf(first) == job_state::Succeeded);
    cr_assert_eq(domain.tasksOf(second).size(), 9);
}

// Guards against placements that ignore the required closeness.
Test(gang, keepsAdjacency)
{
    auto domain = makeDomain(4, 2);
    const auto rack = domain.submit(gangOf(12, adjacency::Rack));
    const auto racks = domain.submit(gangOf(20, adjacency::AdjacentRacks));
    const auto worker = domain.submit(gangOf(8, adjacency::Worker));
    cr_assert_eq(domain.tasksOf(rack).size(), 12);
    cr_assert_eq(domain.tasksOf(racks).size(), 20);
    cr_assert_eq(domain.workersOf(worker).size(), 1);
    // Best fit has kept one whole rack and half of another one free.
    cr_assert_eq(domain.tasksOf(domain.submit(gangOf(16, adjacency::Rack))).size(), 16);
    cr_assert_eq(domain.tasksOf(domain.submit(gangOf(8, adjacency::Rack))).size(), 8);
    cr_assert(domain.stateOf(domain.submit(gangOf(1))) == job_state::Queued);
}

// Guards against racks that are adjacent only because a rack between them is unknown.
Test(gang, gapBetweenRacksIsNotAdjacent)
{
    auto domain = makeDomain(0, 0);
    domain.join("a", 0);
    domain.join("b", 2);
    cr_assert(domain.submitRefused(gangOf(16, adjacency::AdjacentRacks)).kind == error_kind::Infeasible);
    domain.join("c", 1);
    cr_assert_eq(domain.tasksOf(domain.submit(gangOf(24, adjacency::AdjacentRacks))).size(), 24);
}

// Guards against cores or memory being overcommitted while accelerators are free.
Test(gang, countsCoresAndMemory)
{
    auto domain = makeDomain(1, 1);
    auto spec = gangOf(2);
    spec.perTask = { 1, 32'000, 1'024 };
    domain.submit(spec);
    auto cores = gangOf(1);
    cr_assert(domain.stateOf(domain.submit(cores)) == job_state::Queued);
    spec = gangOf(1);
    spec.perTask = { 0, 0, 262'145 };
    cr_assert(domain.submitRefused(spec).kind == error_kind::Infeasible);
}

// Guards against a gang that continues without a lost member, and against a new attempt while tasks of the old one run.
Test(gang, lostMemberStopsAttempt)
{
    auto domain = makeDomain(1, 4);
    const auto job = domain.submit(gangOf(16));
    domain.confirmAll();
    const auto workers = domain.workersOf(job);
    domain.lose(*workers.begin());
    cr_assert(domain.stateOf(job) == job_state::Stopping);
    cr_assert_eq(domain.tasksOf(job).size(), 8);
    domain.confirm(domain.tasksOf(job).front());
    cr_assert(domain.stateOf(job) == job_state::Stopping);
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Running);
    cr_assert_eq(findJob(*domain.state, job)->attempt, 2);
}

// Guards against a gang that waits forever for a member that does not confirm its start.
Test(gang, startTimeoutStopsAttempt)
{
    auto domain = makeDomain(1, 2);
    const auto job = domain.submit(gangOf(2));
    domain.confirm(domain.tasksOf(job).front());
    domain.advance(std::chrono::seconds(29));
    cr_assert(domain.stateOf(job) == job_state::Starting);
    domain.advance(std::chrono::seconds(1));
    cr_assert(domain.stateOf(job) == job_state::Stopping);
    domain.confirmAll();
    cr_assert_eq(findJob(*domain.state, job)->attempt, 2);
}

// Guards against a failed task that leaves the rest of its gang running, and against endless attempts.
Test(gang, failedTaskStopsAttemptAndLastFailureEndsJob)
{
    auto domain = makeDomain(1, 8);
    const auto job = domain.submit(gangOf(2));
    for (auto attempt = 1; attempt <= 3; ++attempt) {
        domain.confirmAll();
        cr_assert_eq(findJob(*domain.state, job)->attempt, attempt);
        domain.finish(job, false);
    }
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Failed);
    cr_assert_not(findJob(*domain.state, job)->reason.empty());
}

// Guards against a repeated submission that runs a job twice, and a reused key that hides another job.
Test(gang, clientKeyDeduplicates)
{
    auto domain = makeDomain(1, 1);
    auto spec = gangOf(1);
    spec.clientKey = "k";
    const auto job = domain.submit(spec);
    const auto output = domain.apply(job_submitted { spec });
    const auto& accepted = std::get<job_accepted>(output.front());
    cr_assert(accepted.duplicate && accepted.job == job);
    domain.confirmAll();
    domain.finish(job);
    cr_assert(std::get<job_accepted>(domain.apply(job_submitted { spec }).front()).job == job);
    spec.taskCount = 2;
    cr_assert(domain.submitRefused(spec).kind == error_kind::KeyReused);
}

// Guards against capacity that is counted as free before the stop of a cancelled job is confirmed.
Test(gang, cancelIsFinalAndHoldsCapacityUntilConfirmed)
{
    auto domain = makeDomain(1, 1);
    const auto job = domain.submit(gangOf(8));
    const auto next = domain.submit(gangOf(8));
    domain.confirmAll();
    domain.apply(job_cancelled { job });
    domain.apply(usage_reported { domain.tasksOf(job).front().worker, { job, 1, 0 }, {}, domain.now });
    cr_assert(domain.stateOf(job) == job_state::Stopping);
    cr_assert(domain.stateOf(next) == job_state::Queued);
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Cancelled);
    cr_assert(domain.stateOf(next) == job_state::Running);
    domain.apply(job_cancelled { next });
    domain.finish(next);
    cr_assert(domain.stateOf(next) == job_state::Cancelled);
}

// Guards against tasks that keep running on a worker that returns after its loss.
Test(gang, unknownTasksOfJoiningWorkerAreStoppedFirst)
{
    auto domain = makeDomain(1, 1);
    domain.lose("w0-0");
    domain.join("w0-0", 0, 1, { { static_cast<job_id>(77), 1, 0 } });
    const auto job = domain.submit(gangOf(1));
    cr_assert(domain.stateOf(job) == job_state::Queued);
    cr_assert_eq(outstandingCommands(*domain.state).size(), 1);
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Running);
}

// Guards against a second active attempt of a job whose first one returned with its worker.
Test(gang, returningWorkerWithOldAttemptBlocksNextOne)
{
    auto domain = makeDomain(1, 2);
    const auto job = domain.submit(gangOf(10));
    domain.confirmAll();
    domain.lose("w0-0");
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Queued);
    domain.join("w0-0", 0, 1, { { job, 1, 0 } });
    cr_assert(domain.stateOf(job) == job_state::Queued);
    domain.confirmAll();
    cr_assert_eq(findJob(*domain.state, job)->attempt, 2);
}

// Guards against commands that are lost when the leader changes.
Test(gang, outstandingCommandsAreReissued)
{
    auto domain = makeDomain(1, 2);
    const auto job = domain.submit(gangOf(3));
    cr_assert_eq(outstandingCommands(*domain.state).size(), 3);
    domain.confirmAll();
    cr_assert(outstandingCommands(*domain.state).empty());
    domain.apply(job_cancelled { job });
    cr_assert_eq(outstandingCommands(*domain.state).size(), 3);
}

// Guards against new work on a worker that is leaving.
Test(gang, leavingWorkerGetsNoNewTask)
{
    auto domain = makeDomain(1, 2);
    domain.apply(worker_leaving { "w0-0" });
    const auto job = domain.submit(gangOf(8));
    cr_assert(domain.workersOf(job) == std::set<std::string> { "w0-1" });
    cr_assert(domain.stateOf(domain.submit(gangOf(1))) == job_state::Queued);
}
