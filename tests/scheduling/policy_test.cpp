#include "tests/scheduling/fake_domain.h"

#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
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

// Guards against capacity spent on a job that cannot end before its deadline.
Test(deadline, jobThatCannotMeetItsDeadlineExpires)
{
    auto domain = makeDomain(1, 1);
    const auto blocker = domain.submit(gangOf(8));
    domain.confirmAll();
    auto spec = gangOf(8);
    spec.deadline = domain.now + std::chrono::hours(2);
    const auto job = domain.submit(spec);
    domain.advance(std::chrono::minutes(110));
    cr_assert(domain.stateOf(job) == job_state::Expired);
    cr_assert(domain.stateOf(blocker) == job_state::Running);
    spec.deadline = domain.now;
    cr_assert(domain.submitRefused(spec).kind == error_kind::DeadlineExceeded);
}

// Guards against a job that runs on after its deadline.
Test(deadline, runningJobStopsAtItsDeadline)
{
    auto domain = makeDomain(1, 1);
    auto spec = gangOf(8);
    spec.deadline = domain.now + std::chrono::hours(2);
    const auto job = domain.submit(spec);
    domain.confirmAll();
    const auto forecast = findJob(*domain.state, job)->forecastEnd;
    cr_assert(forecast && *forecast > domain.now);
    domain.advance(std::chrono::hours(3));
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Expired);
}

// Guards against a deadline that does not move its job ahead of an equal one.
Test(deadline, tightDeadlineStartsFirst)
{
    auto domain = makeDomain(1, 1);
    const auto blocker = domain.submit(gangOf(8));
    domain.confirmAll();
    const auto relaxed = domain.submit(gangOf(8));
    auto spec = gangOf(8);
    spec.deadline = domain.now + std::chrono::minutes(75);
    const auto tight = domain.submit(spec);
    domain.finish(blocker);
    cr_assert(domain.stateOf(tight) == job_state::Starting);
    cr_assert(domain.stateOf(relaxed) == job_state::Queued);
}

// Guards against large gangs that starve behind a stream of small jobs.
Test(reservation, largeGangDoesNotStarve)
{
    auto domain = makeDomain(1, 4);
    std::vector<job_id> small;
    small.reserve(64);
    for (auto i = 0; i < 8; ++i)
        small.push_back(domain.submit(gangOf(4)));
    domain.confirmAll();
    const auto large = domain.submit(gangOf(32, adjacency::Rack));
    // Each small job that ends is followed by another one that takes its place unless the places are reserved.
    auto rounds = 0;
    for (; domain.stateOf(large) == job_state::Queued && rounds < 40; ++rounds) {
        domain.advance(std::chrono::minutes(10));
        small.push_back(domain.submit(gangOf(4)));
        const auto running = std::find_if(
            small.begin(), small.end(), [&](job_id job) { return domain.stateOf(job) == job_state::Running; });
        if (running != small.end())
            domain.finish(*running);
        domain.confirmAll();
    }
    cr_assert_leq(rounds, 10);
}

// Guards against a backfilled job that overruns its estimate and delays the reservation.
Test(reservation, backfilledJobCannotDelayIt)
{
    auto domain = makeDomain(1, 2);
    const auto blocker = domain.submit(gangOf(8, adjacency::Worker));
    domain.confirmAll();
    // An attempt in its first five minutes would be preempted instead.
    domain.advance(std::chrono::minutes(6));
    const auto large = domain.submit(gangOf(16, adjacency::Rack));
    auto brief = gangOf(4);
    brief.declaredRunTime = std::chrono::minutes(1);
    const auto backfilled = domain.submit(brief);
    cr_assert(domain.stateOf(backfilled) == job_state::Starting, "the idle half of the reservation is used");
    domain.confirmAll();
    domain.advance(std::chrono::minutes(50));
    domain.finish(blocker);
    domain.confirmAll();
    cr_assert(domain.stateOf(large) == job_state::Running);
}

// Guards against a gang that waits although preempting one checkpointable job would free its places.
Test(reservation, checkpointableJobIsPreemptedForGang)
{
    auto domain = makeDomain(2, 2);
    auto spec = gangOf(4, adjacency::Worker);
    spec.checkpointable = true;
    spec.declaredRunTime = std::chrono::hours(10);
    const auto other = domain.submit(gangOf(12, adjacency::Rack));
    std::vector<job_id> checkpointableJobs;
    checkpointableJobs.reserve(3);
    for (auto i = 0; i < 3; ++i)
        checkpointableJobs.push_back(domain.submit(spec));
    domain.confirmAll();
    domain.finish(checkpointableJobs[0]);
    domain.finish(other);
    domain.advance(std::chrono::minutes(1));
    const auto gang = domain.submit(gangOf(24, adjacency::Any));
    const auto blocked = domain.submit(gangOf(16, adjacency::Rack));
    domain.confirmAll();
    domain.finish(gang);
    domain.confirmAll();
    cr_assert(domain.stateOf(blocked) == job_state::Running);
}

// Guards against estimates that follow a declared run time which is always wrong.
Test(estimate, learnsFromObservation)
{
    auto domain = makeDomain(1, 1);
    const auto spec = gangOf(1);
    const auto before = runTimeQuantile(*domain.state, spec, 500);
    for (auto i = 0; i < 20; ++i) {
        const auto job = domain.submit(spec);
        domain.confirmAll();
        domain.advance(std::chrono::hours(4));
        domain.finish(job);
    }
    const auto after = runTimeQuantile(*domain.state, spec, 500);
    cr_assert(before <= std::chrono::hours(1) && after >= std::chrono::hours(3));
    cr_assert(remainingQuantile(*domain.state, spec, std::chrono::hours(3), 500) <= std::chrono::hours(2));
}

// Guards against records of kinds that grow without bound.
Test(estimate, kindRecordsAreBounded)
{
    auto domain = makeDomain(1, 1);
    auto spec = gangOf(1);
    for (auto i = 0; i < 3000; ++i) {
        spec.kind = "kind" + std::to_string(i);
        observeRunTime(*domain.state, spec, std::chrono::hours(1));
    }
    cr_assert_leq(domain.state->kinds.size(), 2048);
}

// Guards against infeasible jobs that wait forever after the fleet or the configuration changed.
Test(feasibility, impossibleJobsAreRefusedWithReason)
{
    auto domain = makeDomain(1, 2);
    const auto refused = domain.submitRefused(gangOf(9, adjacency::Worker));
    cr_assert(refused.kind == error_kind::Infeasible && !refused.reason.empty());
    cr_assert(domain.submitRefused(gangOf(1, adjacency::Any, "nobody")).kind == error_kind::NotFound);
    cr_assert(domain.submitRefused(gangOf(65)).kind == error_kind::InvalidRequest);
    domain.submit(gangOf(8, adjacency::Worker));
    const auto waiting = domain.submit(gangOf(16));
    domain.apply(worker_leaving { "w0-1" });
    cr_assert(domain.stateOf(waiting) == job_state::Infeasible);
    // A lost worker may return, so its loss alone makes no job infeasible.
    auto other = makeDomain(1, 2);
    other.lose("w0-0");
    cr_assert(other.stateOf(other.submit(gangOf(16))) == job_state::Queued);
    other.configure({ { .name = "next" } });
    cr_assert_eq(viewFleet(*other.state).queuedJobs, 0);
}

// Guards against a worker that fails every task, is therefore always free, and gets one job after another.
Test(quarantine, failingWorkerIsTakenOutAndProbed)
{
    auto domain = makeDomain(1, 6);
    for (auto i = 0; i < 3; ++i) {
        auto spec = gangOf(8, adjacency::Worker);
        spec.kind = "kind" + std::to_string(i);
        domain.submit(spec);
    }
    domain.confirmAll();
    const std::string failing = "w0-0";
    for (auto round = 0; round < 20 && domain.quarantined.empty(); ++round) {
        auto spec = gangOf(1, adjacency::Worker);
        spec.kind = "small" + std::to_string(round);
        domain.submit(spec);
        domain.confirmAll();
        for (const auto& [task, awaited] : std::map(domain.live))
            if (task.worker == failing && domain.live.contains(task))
                domain.end(task, false);
        domain.confirmAll();
    }
    cr_assert(domain.quarantined == std::set<std::string> { failing });
    // The probe is one small job at a time; its success returns the worker to service.
    domain.advance(std::chrono::minutes(6));
    for (auto i = 0; i < 40; ++i) {
        auto spec = gangOf(1);
        spec.declaredRunTime = std::chrono::minutes(5);
        domain.submit(spec);
    }
    const auto probes = std::count_if(
        domain.live.begin(), domain.live.end(), [&](const auto& entry) { return entry.first.worker == failing; });
    cr_assert_eq(probes, 1);
    domain.confirmAll();
    for (const auto& [task, awaited] : std::map(domain.live))
        if (task.worker == failing)
            domain.end(task, true);
    cr_assert(domain.quarantined.empty());
}

// Guards against one failing kind of job that puts the entire fleet in quarantine.
Test(quarantine, failingKindDoesNotQuarantineTheFleet)
{
    auto domain = makeDomain(2, 8);
    std::vector<job_id> jobs;
    jobs.reserve(40);
    for (auto i = 0; i < 40; ++i)
        jobs.push_back(domain.submit(gangOf(1)));
    for (auto round = 0; round < 10; ++round) {
        domain.confirmAll();
        for (const auto job : jobs)
            if (domain.stateOf(job) == job_state::Running)
                domain.finish(job, false);
    }
    domain.confirmAll();
    cr_assert(domain.quarantined.empty());
    for (const auto job : jobs)
        cr_assert(domain.stateOf(job) == job_state::Failed);
}

// Guards against a job that uses the memory of other jobs on its worker.
Test(usage, oversizedTaskIsThrottledThenStopped)
{
    auto domain = makeDomain(1, 1);
    const auto job = domain.submit(gangOf(1));
    domain.confirmAll();
    const resources use { 1, 4'000, 30'000 };
    domain.advance(std::chrono::minutes(1));
    const auto output = domain.apply(usage_reported { "w0-0", { job, 1, 0 }, use, domain.now });
    cr_assert(std::holds_alternative<throttle_task>(output.front()));
    cr_assert_eq(outstandingCommands(*domain.state).size(), 1);
    domain.apply(usage_reported { "w0-0", { job, 1, 0 }, use, domain.now });
    cr_assert(domain.stateOf(job) == job_state::Running);
    domain.advance(std::chrono::minutes(1));
    domain.apply(usage_reported { "w0-0", { job, 1, 0 }, use, domain.now });
    cr_assert(domain.stateOf(job) == job_state::Stopping);
}

// Guards against a cancellation of half the queue that leaves capacity in use, restarts a cancelled job or stops the
// other half.
Test(load, massCancellationLeavesTheOtherHalf)
{
    auto domain = makeDomain(2, 2);
    std::vector<job_id> jobs;
    jobs.reserve(200);
    for (auto i = 0; i < 200; ++i)
        jobs.push_back(domain.submit(gangOf(1 + i % 6)));
    domain.confirmAll();
    for (std::size_t i = 0; i < jobs.size(); i += 2)
        domain.apply(job_cancelled { jobs[i] });
    domain.confirmAll();
    for (auto round = 0; round < 200; ++round)
        for (const auto job : jobs)
            if (domain.stateOf(job) == job_state::Running) {
                domain.finish(job);
                domain.confirmAll();
            }
    for (std::size_t i = 0; i < jobs.size(); ++i)
        cr_assert(domain.stateOf(jobs[i]) == (i % 2 == 0 ? job_state::Cancelled : job_state::Succeeded));
    cr_assert_eq(viewFleet(*domain.state).freeAccelerators, 32);
}

// Guards against a burst of small jobs that starves large gangs, and a burst of large gangs that starves small jobs.
Test(load, burstsOfBothSizesAreServed)
{
    auto domain = makeDomain(4, 2);
    std::vector<job_id> jobs;
    jobs.reserve(64);
    for (auto i = 0; i < 60; ++i)
        jobs.push_back(domain.submit(gangOf(1 + i % 3)));
    for (auto i = 0; i < 4; ++i)
        jobs.push_back(domain.submit(gangOf(32 + 8 * i, adjacency::AdjacentRacks)));
    for (auto round = 0; round < 60; ++round) {
        domain.confirmAll();
        domain.advance(std::chrono::minutes(30));
        for (const auto job : jobs)
            if (domain.stateOf(job) == job_state::Running)
                domain.finish(job);
    }
    for (const auto job : jobs)
        cr_assert(domain.stateOf(job) == job_state::Succeeded);
}
