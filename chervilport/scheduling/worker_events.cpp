#include "chervilport/scheduling/attempts.h"
#include "chervilport/scheduling/event_handlers.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace chervilport {

namespace {

    std::optional<std::int32_t> workerIndex(const schedule_state& state, std::string_view name)
    {
        const auto found = state.workerByName.find(name);
        return found == state.workerByName.end() ? std::nullopt : std::optional(found->second);
    }

    std::int32_t addWorker(schedule_state& state, const std::string& name)
    {
        const auto unused = std::find_if(state.workers.begin(), state.workers.end(),
            [](const worker_record& worker) { return worker.state == worker_state::Unused; });
        const auto index = static_cast<std::int32_t>(unused - state.workers.begin());
        if (unused == state.workers.end()) {
            state.workers.emplace_back();
            for (auto& row : state.nonPreemptibleUse)
                row.emplace_back();
            for (auto& row : state.witnessUse)
                row.emplace_back();
        }
        state.workers[index].name = name;
        state.workerByName.emplace(name, index);
        return index;
    }

    /// Releases the tasks of a worker on which provably none runs any more, and stops their attempts.
    void releaseWorkerTasks(schedule_state& state, std::int32_t index, std::vector<command>& out)
    {
        auto& worker = state.workers[index];
        const auto tasks = worker.tasks;
        for (const auto& [id, rank] : tasks)
            releaseTask(state, state.jobs.at(id), rank);
        for (const auto& [id, rank] : tasks) {
            if (auto* job = findActive(state, id))
                stopAttempt(
                    state, *job, stop_mode::Kill, job_state::Queued, "worker " + worker.name + " was lost", out);
        }
        for (const auto& [id, rank] : tasks)
            finishIfAllEnded(state, id, out);
        for (const auto& orphan : worker.orphans)
            worker.used = worker.used - orphan.use;
        worker.orphans.clear();
        worker.probeJob = {};
    }

    /// Returns whether the rack or the capacity of the worker differs from its record.
    bool hasDescriptionChanged(const worker_record& worker, const worker_joined& joined)
    {
        return worker.rack != joined.rack || worker.rackPosition != joined.rackPosition
            || worker.capacity != joined.capacity;
    }

    /// Reconciles the tasks that a joining worker runs with the recorded attempts.
    void reconcileTasks(
        schedule_state& state, std::int32_t index, const worker_joined& joined, std::vector<command>& out)
    {
        for (const auto& reported : joined.tasks) {
            auto* job = findActive(state, reported.job);
            if (job && findTask(*job, reported, index))
                handleEvent(state, task_started { joined.worker, reported }, out);
            else
                addOrphanTask(state, index, reported, out);
        }
    }

} // namespace

bool handleEvent(schedule_state& state, const worker_joined& joined, std::vector<command>& out)
{
    const auto known = workerIndex(state, joined.worker);
    const auto index = known ? *known : addWorker(state, joined.worker);
    const auto previous = state.workers[index];
    const auto wasInService = previous.state == worker_state::Ready || previous.state == worker_state::Leaving;
    if (known && joined.incarnation < previous.incarnation)
        return false;

    // A higher incarnation proves that the tasks of the lower one have ended. So does a changed description under the
    // same one, because a worker cannot change while it runs.
    if (wasInService && (joined.incarnation > previous.incarnation || hasDescriptionChanged(previous, joined)))
        releaseWorkerTasks(state, index, out);
    auto& worker = state.workers[index];
    worker.incarnation = joined.incarnation;
    worker.rack = joined.rack;
    worker.rackPosition = joined.rackPosition;
    worker.capacity = joined.capacity;
    worker.state = worker_state::Ready;
    rebuildRacks(state);
    reconcileTasks(state, index, joined, out);
    repairWitness(state);
    return true;
}

bool handleEvent(schedule_state& state, const worker_leaving& leaving, std::vector<command>& out)
{
    const auto index = workerIndex(state, leaving.worker);
    if (!index || state.workers[*index].state != worker_state::Ready)
        return false;
    state.workers[*index].state = worker_state::Leaving;
    repairWitness(state);
    endInfeasibleJobs(state, out);
    return true;
}

bool handleEvent(schedule_state& state, const worker_lost& lost, std::vector<command>& out)
{
    const auto index = workerIndex(state, lost.worker);
    if (!index)
        return false;
    auto& worker = state.workers[*index];
    if (worker.state != worker_state::Ready && worker.state != worker_state::Leaving)
        return false;
    const auto wasLeaving = worker.state == worker_state::Leaving;
    releaseWorkerTasks(state, *index, out);
    worker.state = worker_state::Lost;
    worker.lostAt = state.now;
    if (wasLeaving) {
        // It left as announced and is not expected to return.
        state.workerByName.erase(worker.name);
        worker = {};
    }
    rebuildRacks(state);
    repairWitness(state);
    return true;
}

} // namespace chervilport
