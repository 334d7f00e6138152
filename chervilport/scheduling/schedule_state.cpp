#include "chervilport/scheduling/schedule_state.h"

#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <tuple>

namespace chervilport {

void rebuildRacks(schedule_state& state)
{
    state.racks.clear();
    std::map<std::pair<std::int32_t, std::string>, std::size_t> rackAt;
    for (const auto& worker : state.workers)
        if (worker.state == worker_state::Ready || worker.state == worker_state::Leaving)
            rackAt.emplace(std::pair(worker.rackPosition, worker.rack), 0);
    for (auto& [key, index] : rackAt) {
        index = state.racks.size();
        state.racks.push_back({ key.first, key.second, {} });
    }
    for (std::size_t i = 0; i < state.workers.size(); ++i) {
        const auto& worker = state.workers[i];
        if (worker.state == worker_state::Ready || worker.state == worker_state::Leaving)
            state.racks[rackAt[std::pair(worker.rackPosition, worker.rack)]].workers.push_back(
                static_cast<std::int32_t>(i));
    }
}

void rebuildDerived(schedule_state& state)
{
    // Indexes by name.
    state.workerByName.clear();
    for (std::size_t i = 0; i < state.workers.size(); ++i)
        if (state.workers[i].state != worker_state::Unused)
            state.workerByName.emplace(state.workers[i].name, static_cast<std::int32_t>(i));
    state.workspaceByName.clear();
    const auto& workspaces = state.configuration.workspaces;
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        state.workspaceByName.emplace(workspaces[i].name, static_cast<std::int32_t>(i));
    rebuildRacks(state);

    // Use of each worker by orphan tasks.
    for (auto& worker : state.workers) {
        worker.used = {};
        for (const auto& task : worker.orphans)
            worker.used = worker.used + task.use;
    }

    // Use by attempts.
    state.heldByWorkspace.clear();
    state.heldByTeam.clear();
    state.nonPreemptibleUse.assign(workspaces.size() + 1, std::vector<resources>(state.workers.size()));
    for (const auto& [id, job] : state.jobs) {
        for (std::size_t rank = 0; rank < job.tasks.size(); ++rank) {
            const auto& task = job.tasks[rank];
            if (task.phase == task_phase::Ended)
                continue;
            auto& worker = state.workers[task.worker];
            worker.used = worker.used + job.spec.perTask;
            state.heldByWorkspace[job.spec.workspace] += job.spec.perTask.accelerators;
            state.heldByTeam[{ job.spec.workspace, job.spec.team }] += job.spec.perTask.accelerators;
            if (!job.spec.preemptible) {
                auto& nonPreemptible = state.nonPreemptibleUse[workspaceIndex(state, job.spec.workspace)][task.worker];
                nonPreemptible = nonPreemptible + job.spec.perTask;
            }
        }
    }
    rebuildWitnessUse(state);
}

std::size_t workspaceIndex(const schedule_state& state, const std::string& workspace)
{
    const auto found = state.workspaceByName.find(workspace);
    return found == state.workspaceByName.end() ? state.configuration.workspaces.size()
                                                : static_cast<std::size_t>(found->second);
}

bool isPlaceable(const worker_record& worker) { return worker.state == worker_state::Ready && !worker.quarantined; }

std::int32_t guaranteedAccelerators(const workspace_config& workspace)
{
    std::int32_t sum = 0;
    for (const auto& part : workspace.guarantee)
        sum += part.count * part.taskCount * part.perTask.accelerators;
    return sum;
}

job_record* findActive(schedule_state& state, job_id id)
{
    const auto found = state.jobs.find(id);
    return found == state.jobs.end() ? nullptr : &found->second;
}

} // namespace chervilport
