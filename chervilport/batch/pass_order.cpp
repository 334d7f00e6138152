#include "chervilport/batch/pass_order.h"

#include <algorithm>
#include <tuple>

namespace chervilport::batch {

namespace {

    /// Mean wait for room as a ratio of the mean expected run time: about half of a run is left when a step begins to
    /// wait for its end.
    constexpr double waitRatio = 0.5;

} // namespace

double meanWaitMs(const run_estimates& estimates, const std::vector<ready_step>& steps)
{
    if (steps.empty())
        return 0;
    double sum = 0;
    for (const auto& each : steps)
        sum += expectedRunMs(estimates, *each.job, specOf(each));
    return waitRatio * sum / static_cast<double>(steps.size());
}

void assessDelay(ordered_step& ordered, const batch_state& state, const run_estimates& estimates, double meanWaitMs,
    std::int64_t nowMs)
{
    const auto& ready = ordered.step;
    ordered.cost = delayCostOf(state, estimates, ready);
    const auto& cost = ordered.cost;
    if (specOf(ready).longRunning || !hasObjective(cost)) {
        // Its caller is without service while it waits, however long that is.
        ordered.urgency = cost.value / cost.remainingWork;
        return;
    }
    const auto ageMs = static_cast<double>(nowMs - ready.jobDueMs);
    ordered.status = statusAt(cost, ageMs);
    ordered.urgency = urgencyOf(cost, ageMs, meanWaitMs);
}

preemption_prices pricesOf(const std::vector<ordered_step>& steps, double meanWaitMs)
{
    double value = 0;
    double work = 0;
    for (const auto& each : steps) {
        value += each.cost.value;
        work += each.cost.remainingWork;
    }
    return { meanWaitMs, work > 0 ? value / work : 1 };
}

void weighByShares(std::vector<ordered_step>& steps, const workspace_use& use, const site_config& config)
{
    std::set<std::string, std::less<>> workspaces;
    for (const auto& each : steps)
        workspaces.insert(each.step.job->workspace);
    if (workspaces.size() < 2)
        return;
    const auto factors = shareFactors(use, config, workspaces);
    for (auto& each : steps)
        each.urgency *= factors.at(each.step.job->workspace);
}

void sortForPass(std::vector<ordered_step>& steps)
{
    const auto key = [](const ordered_step& each) {
        return std::tuple(!each.isGuaranteed, !each.isOverdueService, -each.urgency, each.step.job->queue.priority,
            each.step.jobDueMs);
    };
    std::stable_sort(steps.begin(), steps.end(),
        [&](const ordered_step& left, const ordered_step& right) { return key(left) < key(right); });
}

} // namespace chervilport::batch
