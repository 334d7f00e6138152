#include "chervilport/batch/workspace_share.h"

#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

constexpr const char* burstWorkspace = "burst";
constexpr const char* smallWorkspace = "small";
constexpr std::int64_t passMs = 100;

/// Ends the active runs of a job that are at least this old.
void endOld(fake_site& site, const std::string& job, std::int64_t runMs)
{
    const auto& record = site.job(job);
    for (const auto& run : site.activeRuns(job)) {
        const auto& task = record.occurrences.at(0).steps[0].tasks[run.run.task.index];
        if (site.nowMs() - task.startedMs >= runMs)
            site.end(run.run, run_end_kind::Done);
    }
}

/// A burst of equal jobs, two minutes of work for the pool, and after 10 s a job of another workspace every 5 s.
/// Returns the longest wait of these for their first run, in milliseconds.
std::int64_t longestWaitBesideBurst(fake_site& site, const char* otherWorkspace)
{
    constexpr std::int64_t runMs = 2'000;
    constexpr std::int64_t lengthMs = 40'000;
    constexpr std::int64_t otherFromMs = 10'000;
    constexpr std::int64_t otherEveryMs = 5'000;
    constexpr int burstJobs = 480;
    std::vector<std::string> jobs;
    jobs.reserve(burstJobs + lengthMs / otherEveryMs);
    std::map<std::string, std::int64_t> waitingSince;
    std::int64_t longest = 0;
    for (int i = 0; i < burstJobs; ++i)
        jobs.push_back(site.submit(normalQueue, { stepOf(1, 1) }, burstWorkspace));
    for (std::int64_t now = 0; now < lengthMs; now += passMs, site.advance(passMs)) {
        if (now >= otherFromMs && now % otherEveryMs == 0) {
            jobs.push_back(site.submit(normalQueue, { stepOf(1, 1) }, otherWorkspace));
            waitingSince[jobs.back()] = now;
        }
        for (const auto& job : jobs)
            endOld(site, job, runMs);
        site.pass();
        for (auto entry = waitingSince.begin(); entry != waitingSince.end();) {
            longest = std::max(longest, now - entry->second);
            entry = site.job(entry->first).hasStarted ? waitingSince.erase(entry) : std::next(entry);
        }
    }
    return longest;
}

double useOf(const fake_site& site, const char* workspace)
{
    const auto& use = site.schedulerState.use.byWorkspace;
    const auto found = use.find(workspace);
    return found == use.end() ? 0 : found->second;
}

} // namespace

// Load: a burst of 480 equal jobs of one workspace for 8 accelerators, beside one job of another workspace every 5 s in
// the same priority. Guards against the small workspace that waits until the burst has run.
Test(workspaceShare, burstDoesNotHoldBackAnotherWorkspace)
{
    constexpr std::int64_t runMs = 2'000;
    fake_site site;
    site.addWorkers(1);
    site.configureWorkspaces({ { burstWorkspace, { "a" }, 0 }, { smallWorkspace, { "b" }, 0 } });
    // One run ends within a run time; its place goes to the small workspace.
    cr_assert_leq(longestWaitBesideBurst(site, smallWorkspace), runMs + passMs);
}

// Load: the same burst, where the other jobs come from its own workspace. Guards against a factor that changes the
// order within one workspace.
Test(workspaceShare, oneWorkspaceKeepsItsOrder)
{
    fake_site site;
    site.addWorkers(1);
    site.configureWorkspaces({ { burstWorkspace, { "a" }, 0 } });
    const auto before = site.submit(normalQueue, { stepOf(8, 1) }, burstWorkspace);
    site.pass();
    const auto first = site.submit(normalQueue, { stepOf(4, 1) }, burstWorkspace);
    const auto second = site.submit(normalQueue, { stepOf(4, 1) }, burstWorkspace);
    site.advance(passMs);
    site.endAll(before, run_end_kind::Done);
    site.pass();
    cr_assert_eq(site.activeRuns(first).size(), 4);
    const auto factors = shareFactors(site.schedulerState.use, site.state().config, { burstWorkspace });
    cr_assert_float_eq(factors.at(burstWorkspace), 1, 1e-9);
}

// Guards against a quota: a workspace far beyond its share uses all free room while no other one waits.
Test(workspaceShare, workspaceAloneUsesEverything)
{
    constexpr std::int64_t longUseMs = 60'000;
    fake_site site;
    site.addWorkers(4);
    site.configureWorkspaces({ { burstWorkspace, { "a" }, 0 }, { smallWorkspace, { "b" }, 16 } });
    const auto held = site.submit(normalQueue, { stepOf(16, 1) }, burstWorkspace);
    site.pass();
    site.advance(longUseMs);
    const auto more = site.submit(normalQueue, { stepOf(40, 1) }, burstWorkspace);
    site.pass();
    cr_assert_eq(site.activeRuns(held).size() + site.activeRuns(more).size(), 4 * 8);
}

// Guards against a use that is held against a workspace for good, and against one that counts twice when passes come
// often.
Test(workspaceShare, useDecaysAndDoesNotDependOnTheNumberOfPasses)
{
    constexpr std::int64_t runMs = 10'000;
    constexpr std::int64_t halfLifeMs = 15'000;
    fake_site often;
    fake_site seldom;
    for (auto* const site : { &often, &seldom }) {
        site->addWorkers(1);
        site->submit(normalQueue, { stepOf(8, 1) }, burstWorkspace);
        site->pass();
    }
    for (std::int64_t now = 0; now < runMs; now += passMs) {
        often.advance(passMs);
        often.pass();
    }
    seldom.advance(runMs);
    seldom.pass();
    const auto used = useOf(often, burstWorkspace);
    cr_assert_gt(used, 0);
    cr_assert_float_eq(used, useOf(seldom, burstWorkspace), used * 1e-6);
    often.endAll("job1", run_end_kind::Done);
    often.advance(halfLifeMs);
    often.pass();
    cr_assert_float_eq(useOf(often, burstWorkspace), used / 2, used * 1e-6);
}

// Guards against a new leader that takes a workspace in the middle of its burst for one that has used nothing.
Test(workspaceShare, newLeaderStartsFromTheActiveRuns)
{
    constexpr std::int64_t runMs = 10'000;
    fake_site site;
    site.addWorkers(1);
    site.submit(normalQueue, { stepOf(8, 1) }, burstWorkspace);
    site.pass();
    site.advance(runMs);
    site.pass();
    const auto used = useOf(site, burstWorkspace);
    site.schedulerState = {};
    site.pass();
    cr_assert_float_eq(useOf(site, burstWorkspace), used, used * 1e-6);
}

// Guards against a guaranteed job that is held back because its workspace has used more than its share, and against
// shares that don't follow the guarantees.
Test(workspaceShare, guaranteeGoesFirst)
{
    constexpr std::int64_t longUseMs = 60'000;
    fake_site site;
    site.addWorkers(2);
    site.configureWorkspaces({ { burstWorkspace, { "a" }, 8 }, { smallWorkspace, { "b" }, 0 } });
    const auto held = site.submit(normalQueue, { stepOf(16, 1) }, burstWorkspace);
    site.pass();
    site.advance(longUseMs);
    site.pass();
    const std::set<std::string, std::less<>> both { burstWorkspace, smallWorkspace };
    const auto factors = shareFactors(site.schedulerState.use, site.state().config, both);
    cr_assert_lt(factors.at(burstWorkspace), factors.at(smallWorkspace));
    cr_assert_gt(shareWeight(site.state().config, burstWorkspace), shareWeight(site.state().config, smallWorkspace));
    const auto other = site.submit(urgentQueue, { stepOf(8, 1) }, smallWorkspace);
    const auto guaranteed = site.submit(urgentQueue, { stepOf(8, 1) }, burstWorkspace);
    for (const auto& run : site.activeRuns(held)) {
        if (static_cast<std::uint32_t>(run.worker) == 1)
            site.end(run.run, run_end_kind::Done);
    }
    site.pass();
    cr_assert_eq(site.activeRuns(guaranteed).size(), 8);
    cr_assert(site.activeRuns(other).empty());
}

// Guards against factors without bounds, with which patient jobs of a small workspace would pass urgent ones.
Test(workspaceShare, factorsAreBounded)
{
    workspace_use use;
    use.byWorkspace = { { burstWorkspace, 1e9 } };
    const auto factors = shareFactors(use, {}, { burstWorkspace, smallWorkspace });
    cr_assert_geq(factors.at(burstWorkspace), 0.5);
    cr_assert_leq(factors.at(smallWorkspace), 2.0);
}
