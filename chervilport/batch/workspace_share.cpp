#include "chervilport/batch/workspace_share.h"

#include "chervilport/batch/delay_cost.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace chervilport::batch {

namespace {

    /// Time after which half of a use is left, in milliseconds.
    constexpr double halfLifeMs = 15'000;
    /// Bounds of the factor. The ratio between two workspaces stays within one step of priority, so that urgent jobs of
    /// a workspace beyond its share still go before patient ones of another.
    constexpr double maxFactor = std::numbers::sqrt2;
    constexpr double minFactor = 1 / maxFactor;
    /// Use that is assumed beside the recorded one, split by share, in core-seconds. It keeps a few short runs in an
    /// idle pool from changing the order.
    constexpr double assumedUse = 64.0;
    /// Use below which a workspace is forgotten, in core-seconds.
    constexpr double negligibleUse = 1e-3;

    double decayOver(std::int64_t elapsedMs) { return std::exp2(-static_cast<double>(elapsedMs) / halfLifeMs); }

    /// Returns the time that a use of this length counts for at its end, in milliseconds.
    double decayedLengthMs(std::int64_t lengthMs) { return halfLifeMs / std::numbers::ln2 * (1 - decayOver(lengthMs)); }

    /// Returns the use by the active runs of a step since the given time.
    double useSince(const step_spec& spec, const step_record& step, std::int64_t sinceMs, std::int64_t nowMs)
    {
        // Tasks that use only idle processor time take no room from others.
        if (step.activeCount == 0 || spec.usesIdleCpu)
            return 0;
        double sum = 0;
        for (const auto& task : step.tasks) {
            if (task.worker == noWorker)
                continue;
            const auto lengthMs = std::max<std::int64_t>(0, nowMs - std::max(sinceMs, task.startedMs));
            sum += coreSeconds(spec, decayedLengthMs(lengthMs));
        }
        return sum;
    }

    double useSince(const job_record& job, std::int64_t sinceMs, std::int64_t nowMs)
    {
        double sum = 0;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
                sum += useSince(job.request.steps[i], occurrence.steps[i], sinceMs, nowMs);
        }
        return sum;
    }

    double useOf(const workspace_use& use, std::string_view workspace)
    {
        const auto found = use.byWorkspace.find(workspace);
        return found == use.byWorkspace.end() ? 0 : found->second;
    }

    /// Returns by workspace the ratio of its share to its part of the recent use.
    std::map<std::string, double, std::less<>> shareRatios(
        const workspace_use& use, const site_config& config, const std::set<std::string, std::less<>>& workspaces)
    {
        double totalWeight = 0;
        double totalUse = assumedUse;
        for (const auto& each : workspaces) {
            totalWeight += shareWeight(config, each);
            totalUse += useOf(use, each);
        }
        std::map<std::string, double, std::less<>> ratios;
        for (const auto& each : workspaces) {
            const auto share = shareWeight(config, each) / totalWeight;
            const auto part = (useOf(use, each) + share * assumedUse) / totalUse;
            ratios[each] = share / part;
        }
        return ratios;
    }

} // namespace

void recordUse(workspace_use& use, const batch_state& state, std::int64_t nowMs)
{
    if (nowMs <= use.recordedMs)
        return;
    // Remove what has decayed to nothing: workspaces come and go with configurations.
    const auto decay = decayOver(nowMs - use.recordedMs);
    for (auto& [workspace, amount] : use.byWorkspace)
        amount *= decay;
    std::erase_if(use.byWorkspace, [](const auto& entry) { return entry.second < negligibleUse; });
    for (const auto& [id, job] : state.jobs) {
        if (job.activeRuns > 0)
            use.byWorkspace[job.workspace] += useSince(job, use.recordedMs, nowMs);
    }
    use.recordedMs = nowMs;
}

double shareWeight(const site_config& config, std::string_view workspace)
{
    constexpr double unguaranteedRatio = 0.5;
    std::int64_t smallest = 0;
    for (const auto& quota : config.workspaces) {
        const auto guarantee = quota.guaranteedAccelerators;
        if (guarantee <= 0)
            continue;
        if (quota.name == workspace)
            return static_cast<double>(guarantee);
        smallest = smallest == 0 ? guarantee : std::min(smallest, guarantee);
    }
    return smallest == 0 ? 1 : unguaranteedRatio * static_cast<double>(smallest);
}

std::map<std::string, double, std::less<>> shareFactors(
    const workspace_use& use, const site_config& config, const std::set<std::string, std::less<>>& workspaces)
{
    auto factors = shareRatios(use, config, workspaces);
    for (auto& [workspace, factor] : factors)
        factor = std::clamp(std::sqrt(factor), minFactor, maxFactor);
    return factors;
}

bool isBeyondShare(const workspace_use& use, const site_config& config, std::set<std::string, std::less<>> workspaces,
    const std::string& workspace)
{
    workspaces.insert(workspace);
    return shareRatios(use, config, workspaces).at(workspace) < 1;
}

} // namespace chervilport::batch
