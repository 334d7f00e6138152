#include "chervilport/scheduling/feasibility.h"

#include "chervilport/scheduling/placement.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chervilport {

namespace {

    constexpr std::int32_t maxGangTasks = 64;

    /// Largest accepted demand of a task; far above any worker, and keeps sums within their types.
    constexpr resources maxTaskDemand { 1024, 4'096'000, 1'073'741'824 };

    /// Largest accepted declared run time.
    constexpr log_duration maxDeclaredRunTime = std::chrono::hours(24 * 365);

    std::string_view nameOf(adjacency placement)
    {
        switch (placement) {
        case adjacency::Any:
            return "the failure domain";
        case adjacency::AdjacentRacks:
            return "adjacent racks";
        case adjacency::Rack:
            return "one rack";
        case adjacency::Worker:
            return "one worker";
        }
        return "the failure domain";
    }

    std::string describe(const job_spec& spec)
    {
        return std::to_string(spec.taskCount) + " tasks of " + std::to_string(spec.perTask.accelerators)
            + " accelerators, " + std::to_string(spec.perTask.millicores) + " millicores and "
            + std::to_string(spec.perTask.memoryMb) + " MB";
    }

    std::optional<refusal> checkQuotas(const workspace_config& workspace, const job_spec& spec)
    {
        const auto demand = gangAccelerators(spec);
        const auto team = std::find_if(workspace.teams.begin(), workspace.teams.end(),
            [&](const team_quota& quota) { return quota.team == spec.team; });
        if (team != workspace.teams.end() && demand > team->maxAccelerators)
            return refusal { error_kind::QuotaExceeded,
                "the job needs " + std::to_string(demand) + " accelerators, the quota of team " + spec.team + " is "
                    + std::to_string(team->maxAccelerators) };
        if (workspace.maxBorrowedAccelerators < 0)
            return std::nullopt;
        const auto bound = guaranteedAccelerators(workspace) + workspace.maxBorrowedAccelerators;
        if (demand > bound)
            return refusal { error_kind::QuotaExceeded,
                "the job needs " + std::to_string(demand) + " accelerators, workspace " + workspace.name + " may hold "
                    + std::to_string(bound) };
        return std::nullopt;
    }

    /// Copies the workers without their tasks; those that may return count as in service.
    void copyFleet(const schedule_state& state, schedule_state& emptyFleet)
    {
        emptyFleet.now = state.now;
        emptyFleet.configuration = state.configuration;
        for (const auto& worker : state.workers) {
            if (worker.state != worker_state::Ready && worker.state != worker_state::Lost)
                continue;
            worker_record copy;
            copy.name = worker.name;
            copy.rack = worker.rack;
            copy.rackPosition = worker.rackPosition;
            copy.capacity = worker.capacity;
            copy.state = worker_state::Ready;
            emptyFleet.workers.push_back(std::move(copy));
        }
        rebuildDerived(emptyFleet);
    }

    /// Returns the part of a specification that decides whether the job fits into the fleet.
    job_spec demandOf(const job_spec& spec)
    {
        job_spec demand;
        demand.workspace = spec.workspace;
        demand.taskCount = spec.taskCount;
        demand.perTask = spec.perTask;
        demand.placement = spec.placement;
        demand.preemptible = spec.preemptible;
        return demand;
    }

    slot_table slotsOf(const std::vector<resources>& freeCapacity, const job_spec& spec)
    {
        slot_table slots;
        for (const auto& amount : freeCapacity) {
            slots.free.push_back(countFitting(spec.perTask, amount, spec.taskCount));
            slots.freeAccelerators.push_back(std::max(0, amount.accelerators));
        }
        slots.total = slots.free;
        slots.cost.assign(freeCapacity.size(), 0);
        return slots;
    }

} // namespace

std::optional<refusal> checkSpec(const schedule_state& state, const job_spec& spec)
{
    const auto& demand = spec.perTask;
    if (spec.taskCount < 1 || spec.taskCount > maxGangTasks)
        return refusal { error_kind::InvalidRequest,
            "a gang has 1 to 64 tasks, not " + std::to_string(spec.taskCount) };
    if (demand.accelerators < 0 || demand.millicores < 0 || demand.memoryMb < 0)
        return refusal { error_kind::InvalidRequest, "a task's demand is negative: " + describe(spec) };
    if (demand == resources {})
        return refusal { error_kind::InvalidRequest, "a task's demand is empty" };
    if (!fits(demand, maxTaskDemand))
        return refusal { error_kind::InvalidRequest, "a task's demand is larger than any worker: " + describe(spec) };
    if (spec.declaredRunTime < log_duration(0) || spec.declaredRunTime > maxDeclaredRunTime)
        return refusal { error_kind::InvalidRequest, "the declared run time is not between 0 and 365 days" };
    if (workspaceIndex(state, spec.workspace) == state.configuration.workspaces.size())
        return refusal { error_kind::NotFound, "workspace " + spec.workspace + " is not known" };
    return std::nullopt;
}

feasibility_checker::feasibility_checker(const schedule_state& state)
    : m_emptyFleet(std::make_unique<schedule_state>())
{
    copyFleet(state, *m_emptyFleet);
}

feasibility_checker::~feasibility_checker() = default;

std::optional<refusal> feasibility_checker::check(const job_spec& spec)
{
    const auto workspace = workspaceIndex(*m_emptyFleet, spec.workspace);
    if (workspace == m_emptyFleet->configuration.workspaces.size())
        return refusal { error_kind::Infeasible, "workspace " + spec.workspace + " was removed" };
    if (auto quota = checkQuotas(m_emptyFleet->configuration.workspaces[workspace], spec))
        return quota;
    if (m_emptyFleet->workers.empty())
        return std::nullopt;
    const auto demand = demandOf(spec);
    const auto cached
        = std::find_if(m_results.begin(), m_results.end(), [&](const auto& entry) { return entry.first == demand; });
    if (cached != m_results.end())
        return cached->second;
    auto result = checkFleet(spec, workspace);
    m_results.emplace_back(demand, result);
    return result;
}

std::optional<refusal> feasibility_checker::checkFleet(const job_spec& spec, std::size_t workspace)
{
    // Place the gang on the idle fleet.
    auto& emptyFleet = *m_emptyFleet;
    std::vector<resources> freeCapacity;
    for (const auto& worker : emptyFleet.workers)
        freeCapacity.push_back(worker.capacity);
    const auto workers = placeGang(emptyFleet.racks, slotsOf(freeCapacity, spec), spec.taskCount, spec.placement);
    if (!workers)
        return refusal { error_kind::Infeasible,
            describe(spec) + " do not fit into " + std::string(nameOf(spec.placement))
                + " even when nothing else runs" };
    if (spec.preemptible)
        return std::nullopt;

    // A non-preemptible job must leave every guarantee intact.
    if (!m_isWitnessBuilt) {
        rebuildWitnessInstances(emptyFleet, {});
        repairWitness(emptyFleet);
        m_isWitnessBuilt = true;
    }
    if (hasShortfall(emptyFleet))
        return std::nullopt;
    const auto safe = slotsOf(nonPreemptibleAllowance(emptyFleet, workspace), spec);
    if (placeGang(emptyFleet.racks, safe, spec.taskCount, spec.placement)
        || admitNonPreemptible(emptyFleet, spec, *workers))
        return std::nullopt;
    return refusal { error_kind::Infeasible,
        describe(spec) + " cannot run without preemption beside the guarantees of the other workspaces" };
}

} // namespace chervilport
