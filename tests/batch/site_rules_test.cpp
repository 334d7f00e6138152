#include "chervilport/batch/batch_codec.h"
#include "chervilport/batch/config_check.h"
#include "chervilport/batch/guaranteed_jobs.h"
#include "chervilport/batch/job_admission.h"
#include "chervilport/batch/run_estimates.h"
#include "chervilport/batch/urgent_reservation.h"
#include "chervilport/batch/worker_admission.h"
#include "chervilport/core/chervilport_error.h"
#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <functional>

using namespace chervilport;
using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

site_config validConfig() { return fake_site().state().config; }

std::optional<error_kind> refusalOf(const std::function<void()>& call)
{
    try {
        call();
    } catch (const chervilport_error& error) {
        return error.kind();
    }
    return std::nullopt;
}

} // namespace

// Guards against an invalid configuration that is accepted.
Test(siteRules, invalidConfigurationsAreFound)
{
    cr_assert(findConfigFaults(validConfig()).empty());
    auto unknownService = validConfig();
    unknownService.queues[0].service = "nowhere";
    cr_assert_eq(findConfigFaults(unknownService).size(), 1);
    auto noTimeout = validConfig();
    noTimeout.queues[1].timeoutMs = 0;
    cr_assert_eq(findConfigFaults(noTimeout).size(), 1);
    auto duplicateRoute = validConfig();
    duplicateRoute.queues[1].pathPrefix = duplicateRoute.queues[0].pathPrefix;
    cr_assert_eq(findConfigFaults(duplicateRoute).size(), 1);
    auto sharedKey = validConfig();
    sharedKey.workspaces.push_back({ "second", { "key" }, 0 });
    cr_assert_eq(findConfigFaults(sharedKey).size(), 1);
    auto noVersion = validConfig();
    noVersion.version = 0;
    cr_assert_eq(findConfigFaults(noVersion).size(), 1);
}

// Guards against calls that are resolved to the wrong queue or workspace.
Test(siteRules, callsAreResolvedByHostLongestPrefixAndKey)
{
    auto state = fake_site().state();
    auto inner = state.config.queues[0];
    inner.name = "inner";
    inner.pathPrefix = "/urgent/inner/";
    state.config.queues.push_back(inner);
    const auto call = resolveCall(state, "jobs.example:8080", "/urgent/inner/0123", "key");
    cr_assert(call.queue->name == "inner");
    cr_assert(call.workspace == "main");
    cr_assert(call.job == "0123");
    cr_assert(refusalOf([&] { resolveCall(state, "other.example", "/urgent/0123", "key"); }) == error_kind::NotFound);
    cr_assert(
        refusalOf([&] { resolveCall(state, "jobs.example", "/urgent/0123", "old"); }) == error_kind::Unauthenticated);
    cr_assert(refusalOf([] { resolveCall({}, "jobs.example", "/urgent/0123", "key"); }) == error_kind::Unavailable);
}

// Guards against jobs that count as guaranteed beyond the guarantee of their workspace.
Test(siteRules, guaranteedJobsStayWithinTheGuarantee)
{
    fake_site site(10);
    const auto first = site.submit(urgentQueue, { stepOf(2, 4) });
    const auto second = site.submit(urgentQueue, { stepOf(1, 4) });
    site.submit(normalQueue, { stepOf(1, 1) });
    const auto guaranteed = guaranteedJobs(site.state(), {}, site.state().timeMs);
    cr_assert(guaranteed.contains(first));
    cr_assert(!guaranteed.contains(second));
    cr_assert_eq(guaranteed.size(), 1);
}

// Guards against estimates of submitters that are used although observed runs differ.
Test(siteRules, observedRunTimesReplaceEstimates)
{
    fake_site site;
    const auto id = site.submit(normalQueue, { stepOf(1, 1) });
    run_estimates estimates;
    cr_assert_float_eq(expectedRunMs(estimates, site.job(id), stepOf(1, 1)), 2'000, 1);
    for (int i = 0; i < 20; ++i)
        recordRunTime(estimates, normalQueue, 8'000);
    cr_assert_float_eq(expectedRunMs(estimates, site.job(id), stepOf(1, 1)), 8'000, 1);
    cr_assert_float_eq(
        expectedRunMs(estimates, site.job(id), stepOf(1, 1)), expectedChainMs(estimates, site.job(id)), 1);
}

// Guards against a peak of urgent demand that is dropped before the window ends, or never dropped.
Test(siteRules, peakOfUrgentDemandExpires)
{
    urgent_demand_window window;
    cr_assert_float_eq(addDemandSample(window, 3, 1'000), 3, 0.01);
    cr_assert_float_eq(addDemandSample(window, 9, 2'000), 9, 0.01);
    cr_assert_float_eq(addDemandSample(window, 1, 8'000), 9, 0.01);
    cr_assert_float_eq(addDemandSample(window, 2, 30'000), 2, 0.01);
}

// Guards against a start on a worker whose capacity has shrunk below what runs there, and against one that stays small
// after it has grown again.
Test(siteRules, shrunkCapacityTakesNoRuns)
{
    fake_site site;
    auto report = reportOf("w", "10.0.0.1:80", 1);
    site.addWorkers(0);
    site.apply(worker_reported { report });
    site.conditions[site.state().workers.begin()->first] = { true, 0 };
    site.submit(normalQueue, { stepOf(6, 1) });
    cr_assert_eq(site.pass().assigned.size(), 6);
    report.sequence = 2;
    report.capacity.accelerators = 4;
    cr_assert(changesWorker(site.state(), report));
    site.apply(worker_reported { report });
    const auto urgent = site.submit(urgentQueue, { stepOf(1, 1) });
    cr_assert(site.pass().assigned.empty());
    report.sequence = 3;
    report.capacity.accelerators = 8;
    site.apply(worker_reported { report });
    cr_assert_eq(site.pass().assigned.size(), 1);
    cr_assert_eq(site.activeRuns(urgent).size(), 1);
}

// Guards against runs that are placed in a failure domain after its evacuation, and against one that stays closed.
Test(siteRules, evacuatedDomainGetsNoRuns)
{
    fake_site site;
    site.addWorkers(2);
    auto report = reportOf("w1", "10.0.0.1:80", 500'000);
    report.failureDomain = "west";
    report.sequence = 2;
    site.apply(worker_reported { report });
    const auto west = findWorker(site.state(), "w1")->number;
    site.apply(evacuation_changed { "west", true });
    const auto first = site.submit(normalQueue, { stepOf(4, 4) });
    site.pass();
    const auto runs = site.activeRuns(first);
    cr_assert_eq(runs.size(), 2);
    for (const auto& run : runs)
        cr_assert_neq(run.worker, west);
    site.apply(evacuation_changed { "west", false });
    site.pass();
    cr_assert_eq(site.activeRuns(first).size(), 4);
}

// Guards against an evacuation that is lost with a snapshot.
Test(siteRules, evacuationOutlivesASnapshot)
{
    fake_site site;
    site.apply(evacuation_changed { "west", true });
    cr_assert(decodeState(encodeState(site.state())).evacuatedDomains.contains("west"));
}
