#include "tests/scheduling/fake_domain.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::scheduling_tests;

namespace {

workspace_config guaranteed(const std::string& name, std::int32_t count, std::int32_t tasks, adjacency placement)
{
    return { .name = name, .guarantee = { { count, tasks, gangOf(1).perTask, placement } } };
}

/// Two racks of two workers; workspace "main" is guaranteed one whole rack, "other" has no guarantee.
fake_domain makeDomain()
{
    fake_domain domain;
    domain.configure({ guaranteed("main", 1, 16, adjacency::Rack), { .name = "other" } });
    domain.joinFleet(2, 2);
    return domain;
}

job_spec nonPreemptibleGang(std::int32_t tasks, const std::string& workspace)
{
    auto spec = gangOf(tasks, adjacency::Any, workspace);
    spec.preemptible = false;
    return spec;
}

} // namespace

// Guards against non-preemptible borrowers that hold capacity of a guarantee.
Test(guarantee, limitsNonPreemptibleBorrowing)
{
    auto domain = makeDomain();
    const auto first = domain.submit(nonPreemptibleGang(8, "other"));
    const auto second = domain.submit(nonPreemptibleGang(8, "other"));
    const auto third = domain.submit(nonPreemptibleGang(1, "other"));
    cr_assert(domain.stateOf(first) == job_state::Starting);
    cr_assert(domain.stateOf(second) == job_state::Starting);
    cr_assert(domain.stateOf(third) == job_state::Queued);
    cr_assert(domain.submitRefused(nonPreemptibleGang(17, "other")).kind == error_kind::Infeasible);
    cr_assert_eq(domain.tasksOf(domain.submit(gangOf(16, adjacency::Rack))).size(), 16);
}

// Guards against an urgent job that waits although its guarantee covers it, and against an unbounded stop.
Test(guarantee, urgentJobReclaimsInBoundedTime)
{
    auto domain = makeDomain();
    auto borrower = gangOf(32, adjacency::Any, "other");
    borrower.checkpointable = true;
    const auto borrowing = domain.submit(borrower);
    domain.confirmAll();
    domain.advance(std::chrono::minutes(30));
    auto urgent = gangOf(16, adjacency::Rack);
    urgent.jobClass = job_class::Urgent;
    const auto job = domain.submit(urgent);
    cr_assert(domain.stateOf(borrowing) == job_state::Stopping);
    domain.confirm(domain.tasksOf(borrowing).front());
    domain.advance(std::chrono::seconds(2));
    const auto killed = std::count_if(
        domain.live.begin(), domain.live.end(), [](const auto& entry) { return entry.second == pending::Kill; });
    cr_assert_eq(killed, 31, "a checkpoint that takes too long turns into a kill");
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Running);
    cr_assert(domain.stateOf(borrowing) == job_state::Queued);
}

// Guards against work that is lost although every task of the gang wrote its checkpoint.
Test(guarantee, checkpointedJobContinues)
{
    auto domain = makeDomain();
    auto borrower = gangOf(32, adjacency::Any, "other");
    borrower.checkpointable = true;
    const auto borrowing = domain.submit(borrower);
    domain.confirmAll();
    domain.advance(std::chrono::minutes(30));
    auto urgent = gangOf(16, adjacency::Rack);
    urgent.jobClass = job_class::Urgent;
    const auto job = domain.submit(urgent);
    domain.confirmAll();
    domain.finish(job);
    const auto restarted = std::any_of(domain.commands.begin(), domain.commands.end(), [&](const command& item) {
        const auto* const start = std::get_if<start_task>(&item);
        return start && start->task.job == borrowing && start->task.attempt == 2 && start->fromCheckpoint;
    });
    cr_assert(restarted);
}

// Guards against two workspaces that preempt each other endlessly.
Test(guarantee, guaranteedJobsDoNotDisplaceEachOther)
{
    fake_domain domain;
    domain.configure({ guaranteed("main", 1, 16, adjacency::Rack), guaranteed("other", 1, 16, adjacency::Rack) });
    domain.joinFleet(2, 2);
    domain.submit(gangOf(12, adjacency::Any, "main"));
    domain.submit(gangOf(12, adjacency::Any, "other"));
    for (auto i = 0; i < 4; ++i) {
        domain.submit(gangOf(4, adjacency::Worker, "main"));
        domain.submit(gangOf(4, adjacency::Worker, "other"));
    }
    domain.confirmAll();
    domain.advance(std::chrono::minutes(9));
    domain.confirmAll();
    const auto restarts = std::count_if(domain.commands.begin(), domain.commands.end(), [](const command& item) {
        const auto* const start = std::get_if<start_task>(&item);
        return start && start->task.attempt > 2;
    });
    cr_assert_eq(restarts, 0);
}

// Guards against a shortfall that is not reported, borrowing that increases it, and a report that is not withdrawn.
Test(guarantee, shortfallIsReportedAndNotMadeWorse)
{
    auto domain = makeDomain();
    domain.lose("w0-0");
    cr_assert(domain.shortfall["main"] == 0);
    domain.lose("w1-0");
    cr_assert_eq(domain.shortfall["main"], 16);
    cr_assert(domain.stateOf(domain.submit(nonPreemptibleGang(1, "other"))) == job_state::Queued);
    cr_assert_eq(domain.tasksOf(domain.submit(gangOf(1, adjacency::Any, "other"))).size(), 1);
    domain.join("w0-0", 0, 2);
    cr_assert_eq(domain.shortfall["main"], 0);
}

// Guards against teams and workspaces that exceed their quotas.
Test(guarantee, quotasAreEnforced)
{
    fake_domain domain;
    domain.configure({ { .name = "main", .maxBorrowedAccelerators = 6, .teams = { { "blue", 4 } } } });
    domain.joinFleet(1, 2);
    auto spec = gangOf(3);
    spec.team = "blue";
    cr_assert_eq(domain.tasksOf(domain.submit(spec)).size(), 3);
    cr_assert(domain.stateOf(domain.submit(spec)) == job_state::Queued);
    spec.taskCount = 5;
    cr_assert(domain.submitRefused(spec).kind == error_kind::QuotaExceeded);
    spec.team = "red";
    spec.taskCount = 4;
    cr_assert(domain.stateOf(domain.submit(spec)) == job_state::Queued);
    spec.taskCount = 7;
    cr_assert(domain.submitRefused(spec).kind == error_kind::QuotaExceeded);
}

// Guards against guarantees that are not restored after a rack or the entire domain was lost and returned.
Test(guarantee, rackAndDomainLossRecover)
{
    auto domain = makeDomain();
    const auto job = domain.submit(gangOf(16, adjacency::Rack));
    domain.confirmAll();
    const auto workers = domain.workersOf(job);
    for (const auto& worker : workers)
        domain.lose(worker);
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Running);
    cr_assert_eq(domain.shortfall["main"], 0);
    for (const auto& [worker, rack] : std::map(domain.rackOf))
        domain.lose(worker);
    cr_assert(domain.stateOf(job) == job_state::Queued);
    cr_assert_eq(domain.shortfall["main"], 16);
    for (auto rack = 0; rack < 2; ++rack)
        for (auto i = 0; i < 2; ++i)
            domain.join("w" + std::to_string(rack) + "-" + std::to_string(i), rack, 2);
    domain.confirmAll();
    cr_assert(domain.stateOf(job) == job_state::Running);
    cr_assert_eq(domain.shortfall["main"], 0);
}
