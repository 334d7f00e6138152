#include "chervilport/batch/ready_step.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

constexpr std::int64_t intervalMs = 1'000;
/// Longer than a late occurrence may take before it expires, so that the pass ranks it behind the next ones.
constexpr std::int64_t outageMs = 60'000;

/// Submits a job whose first occurrence is due now.
std::string submitRepeated(fake_site& site, std::uint32_t occurrences, std::int64_t accelerators)
{
    job_request request;
    request.id = "repeated";
    request.steps = { stepOf(1, accelerators) };
    request.repeatCount = occurrences;
    request.firstMs = site.nowMs();
    request.intervalMs = intervalMs;
    site.apply(job_submitted { request, *findQueue(site.state().config, normalQueue), "main" });
    return request.id;
}

/// Runs passes, and ends all runs after each, until nothing starts.
void runAll(fake_site& site, const std::string& job)
{
    while (!site.pass().assigned.empty())
        site.endAll(job, run_end_kind::Done);
}

} // namespace

// Guards against an occurrence that never starts: two occurrences wait together after an outage, and the later one,
// which is still in time, is assigned before the earlier one.
Test(occurrences, laterOneAssignedFirstDoesNotSkipTheEarlierOne)
{
    fake_site site;
    site.addWorkers(1);
    const auto id = submitRepeated(site, 2, 8);
    site.apply(run_assigned { { { id, 1, 0, 0 }, 1 }, site.state().workers.begin()->first });
    cr_assert_eq(site.activeRuns(id).size(), 1);
    site.advance(intervalMs);
    site.endAll(id, run_end_kind::Done);
    cr_assert(site.job(id).phase == job_phase::Active);
    const auto ready = listReadySteps(site.state(), site.nowMs());
    cr_assert_eq(ready.size(), 1);
    cr_assert_eq(ready.front().occurrence, 0);
    runAll(site, id);
    cr_assert(site.job(id).phase == job_phase::Completed);
}

// Guards against the same loss when a single pass assigns both, the later one first.
Test(occurrences, allThatWaitAfterAnOutageRun)
{
    fake_site site;
    site.addWorkers(2);
    const auto id = submitRepeated(site, 8, 4);
    runAll(site, id);
    site.advance(outageMs);
    runAll(site, id);
    cr_assert(site.job(id).phase == job_phase::Completed);
}

// Guards against an occurrence that is lost, or run twice, in any order of waits, assignments and losses of runs.
Test(occurrences, eachIsDoneOnceInAnyOrder)
{
    const bool holds = rc::check([] {
        fake_site site;
        site.addWorkers(2);
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 9);
        const auto id = submitRepeated(site, count, *rc::gen::element<std::int64_t>(1, 4, 8));
        const auto pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12'000));
        for (const auto pause : pauses) {
            site.advance(pause);
            site.pass();
            if (pause % 3 != 0)
                site.endAll(id, pause % 3 == 1 ? run_end_kind::Done : run_end_kind::Lost);
        }
        site.endAll(id, run_end_kind::Lost);
        site.advance(outageMs);
        runAll(site, id);
        RC_ASSERT(site.job(id).phase == job_phase::Completed);
        RC_ASSERT(site.job(id).occurrencesDone == count);
    });
    cr_assert(holds);
}
