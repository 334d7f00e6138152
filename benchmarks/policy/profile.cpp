#include "benchmarks/policy/profile.h"

#include <cassert>

namespace chervilport::policy_benchmark {

namespace {

    shape makeShape(std::int32_t count, std::int32_t taskCount, resources perTask, adjacency placement)
    {
        return { .count = count, .taskCount = taskCount, .perTask = perTask, .placement = placement };
    }

    // Four workspaces, two of them large; together they are guaranteed 288 of 400 accelerators.
    std::vector<workspace_config> smallSiteWorkspaces(resources perTask, adjacency closeness)
    {
        std::vector<workspace_config> workspaces;
        for (const auto* name : { "rosters", "routes" }) {
            workspaces.push_back({ .name = name,
                .guarantee = { makeShape(2, 32, perTask, closeness), makeShape(3, 8, perTask, adjacency::Rack),
                    makeShape(8, 1, perTask, adjacency::Any) } });
        }
        workspaces.push_back({ .name = "operations",
            .guarantee = { makeShape(1, 32, perTask, closeness), makeShape(16, 1, perTask, adjacency::Any) } });
        workspaces.push_back({ .name = "analysis",
            .guarantee = { makeShape(2, 16, perTask, adjacency::Rack), makeShape(16, 1, perTask, adjacency::Any) } });
        return workspaces;
    }

    profile makeNightline()
    {
        profile site { .name = "nightline" };
        site.workers = 50;
        site.workerCapacity = { .accelerators = 8, .millicores = 60'000, .memoryMb = 256 * 1024 };
        site.days = 4;
        site.jobsPerDay = 270;
        site.categoryWeights = { 9, 14, 44, 11, 22 };
        site.acceleratorWeights = { 100, 0, 0 };
        site.workspaces = smallSiteWorkspaces(
            { .accelerators = 1, .millicores = 6'000, .memoryMb = 24 * 1024 }, adjacency::AdjacentRacks);
        site.workspaceWeights = { 35, 35, 15, 15 };
        site.policy.fragmentationWeight = 100;
        site.hasDomainOutage = true;
        return site;
    }

    profile makeAnsanm()
    {
        profile site { .name = "ansanm" };
        site.workers = 50;
        site.workerCapacity = { .accelerators = 8, .millicores = 30'000, .memoryMb = 128 * 1024 };
        site.days = 4;
        site.jobsPerDay = 270;
        site.categoryWeights = { 9, 14, 44, 11, 22 };
        site.acceleratorWeights = { 100, 0, 0 };
        site.workspaces = smallSiteWorkspaces(
            { .accelerators = 1, .millicores = 3'000, .memoryMb = 12 * 1024 }, adjacency::AdjacentRacks);
        site.workspaceWeights = { 35, 35, 15, 15 };
        site.policy.fragmentationWeight = 900;
        return site;
    }

    // Twelve workspaces of ten teams; together they are guaranteed 2,880 of 4,320 accelerators.
    profile makeFleet()
    {
        constexpr std::int32_t workspaceCount = 12;
        constexpr std::int32_t teamsPerWorkspace = 10;
        constexpr std::int32_t teamQuota = 384;
        const resources perTask { .accelerators = 1, .millicores = 6'000, .memoryMb = 24 * 1024 };
        profile site { .name = "fleet" };
        site.workers = 540;
        site.workerCapacity = { .accelerators = 8, .millicores = 60'000, .memoryMb = 256 * 1024 };
        // More days at this size would make a run of all profiles too long.
        site.days = 1;
        // 610 a day including the bursts before the cancellation waves.
        site.jobsPerDay = 565;
        site.categoryWeights = { 25, 35, 18, 7, 15 };
        site.acceleratorWeights = { 35, 50, 15 };
        for (std::int32_t i = 0; i < workspaceCount; ++i) {
            workspace_config workspace { .name = "workspace" + std::to_string(i) };
            workspace.guarantee
                = { makeShape(2, 64, perTask, adjacency::AdjacentRacks), makeShape(4, 16, perTask, adjacency::Rack),
                      makeShape(5, 8, perTask, adjacency::Worker), makeShape(8, 1, perTask, adjacency::Any) };
            for (std::int32_t team = 0; team < teamsPerWorkspace; ++team)
                workspace.teams.push_back({ .team = "team" + std::to_string(team), .maxAccelerators = teamQuota });
            site.workspaces.push_back(workspace);
            site.workspaceWeights.push_back(i < 4 ? 15 : 5);
        }
        site.policy.fragmentationWeight = 300;
        return site;
    }

} // namespace

std::vector<profile> allProfiles() { return { makeNightline(), makeAnsanm(), makeFleet() }; }

std::int32_t rackCount(const profile& site) { return (site.workers + site.workersPerRack - 1) / site.workersPerRack; }

shape largestGuaranteedShape(const profile& site)
{
    shape largest { .taskCount = 0 };
    for (const auto& workspace : site.workspaces) {
        for (const auto& candidate : workspace.guarantee) {
            if (candidate.taskCount * candidate.perTask.accelerators > largest.taskCount * largest.perTask.accelerators)
                largest = candidate;
        }
    }
    assert(largest.taskCount > 0);
    return largest;
}

} // namespace chervilport::policy_benchmark
