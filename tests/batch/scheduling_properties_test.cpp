#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

// Guards against runs on a worker that exceed its capacity, for random orders of submissions and ends.
Test(schedulingPass, neverExceedsCapacity)
{
    const bool holds = rc::check([] {
        fake_site site(*rc::gen::inRange(0, 17));
        site.addWorkers(4, 2);
        std::vector<std::string> jobs;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
        for (const auto choice : steps) {
            const std::int64_t accelerators = 1 << (choice % 4);
            const auto count = static_cast<std::uint32_t>(choice / 4 % 5 + 1);
            const char* const queues[] = { urgentQueue, normalQueue, backgroundQueue };
            if (choice % 3 == 0)
                jobs.push_back(site.submit(queues[choice / 7 % 3],
                    { choice % 2 == 0 ? gangStep(count, accelerators) : stepOf(count, accelerators) }));
            else if (choice % 3 == 1 && !jobs.empty())
                site.endAll(jobs[static_cast<std::size_t>(choice) % jobs.size()],
                    choice % 5 == 0 ? run_end_kind::Failed : run_end_kind::Done);
            else
                for (const auto& run : std::set<run_ref>(site.schedulerState.stopping)) {
                    // The job of a run that is being stopped can have ended before.
                    const auto* const task = findTask(site.state(), run.task);
                    if (task != nullptr && task->worker != noWorker && task->lastRun == run.run)
                        site.end(run, run_end_kind::Stopped);
                }
            site.advance(choice * 3);
            site.pass();
            RC_ASSERT(isWithinCapacity(site.state()));
        }
        // The values that are updated with each command must equal those that are derived from the jobs.
        auto derived = site.state();
        deriveAccounting(derived);
        for (const auto& [number, worker] : site.state().workers)
            RC_ASSERT(derived.workers.at(number).used == worker.used);
    });
    cr_assert(holds);
}

namespace {

/// Fills the pool with jobs that borrow guaranteed capacity.
void fillPool(fake_site& site, const std::vector<int>& choices)
{
    for (const auto choice : choices) {
        auto step = stepOf(static_cast<std::uint32_t>(choice % 6 + 1), 1 << (choice / 6 % 4));
        step.gang = choice % 2 == 0;
        step.rackLocal = choice % 4 == 0;
        step.checkpointing = choice % 5 == 0;
        step.estimateMs = 60'000;
        site.submit(choice % 3 == 0 ? normalQueue : backgroundQueue, { step });
        site.advance(choice % 700);
        site.pass();
    }
}

bool hasRun(const fake_site& site, const run_ref& run)
{
    const auto* const task = findTask(site.state(), run.task);
    return task != nullptr && task->worker != noWorker && task->lastRun == run.run;
}

/// Runs passes until all tasks of the job have started, and returns the elapsed milliseconds. Preempted runs end after
/// the longest time that a worker takes to stop a run, and their gangs end with them.
std::int64_t simulateReclaim(
    fake_site& site, const std::string& job, const step_spec& step, const placement_bounds& bounds)
{
    constexpr std::int64_t passMs = 50;
    std::map<run_ref, std::int64_t> stopAt;
    for (std::int64_t now = 0; now <= bounds.reclaimMs; now += passMs) {
        for (const auto& [run, at] : std::map<run_ref, std::int64_t>(stopAt)) {
            if (at > now)
                continue;
            stopAt.erase(run);
            if (!hasRun(site, run))
                continue;
            site.end(run, run_end_kind::Stopped);
            if (site.job(run.task.job).request.steps.front().gang)
                site.endAll(run.task.job, run_end_kind::GangAborted);
        }
        for (const auto& run : site.pass().preempted)
            stopAt.emplace(run.run, now + bounds.maxStopMs);
        const auto startedCount = site.activeRuns(job).size();
        if (startedCount == step.count)
            return now;
        RC_ASSERT(!step.gang || startedCount == 0);
        site.advance(passMs);
    }
    return bounds.reclaimMs + passMs;
}

} // namespace

// Guards against a guarantee that is not reclaimed in time, or by only a part of a gang, for random jobs of borrowers.
Test(schedulingPass, guaranteedJobStartsWithinTheReclaimTime)
{
    const bool holds = rc::check([] {
        constexpr std::int64_t guarantee = 32;
        const placement_bounds bounds;
        fake_site site(guarantee);
        // A guarantee can be larger than a rack.
        site.addWorkers(8, 2);
        fillPool(site, *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000)));
        const auto accelerators = std::int64_t { 1 } << *rc::gen::inRange(0, 4);
        const auto count = *rc::gen::inRange<std::int64_t>(1, guarantee / accelerators + 1);
        auto step = stepOf(static_cast<std::uint32_t>(count), accelerators);
        step.gang = *rc::gen::arbitrary<bool>();
        step.rackLocal = *rc::gen::arbitrary<bool>();
        const auto job = site.submit(urgentQueue, { step });
        RC_ASSERT(simulateReclaim(site, job, step, bounds) <= bounds.reclaimMs);
        RC_ASSERT(isWithinCapacity(site.state()));
    });
    cr_assert(holds);
}
