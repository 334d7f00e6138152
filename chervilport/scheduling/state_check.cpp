#include "chervilport/scheduling/state_check.h"

#include "chervilport/scheduling/field_archive.h"
#include "chervilport/scheduling/schedule_state.h"

#include <cstddef>
#include <cstdint>

namespace chervilport {

namespace {

    void require(bool condition, const char* what)
    {
        if (!condition)
            throwDecodeError(what);
    }

    template <typename Sequence> bool isIndex(std::int32_t index, const Sequence& sequence)
    {
        return index >= 0 && static_cast<std::size_t>(index) < sequence.size();
    }

} // namespace

void checkState(const schedule_state& state)
{
    for (const auto& [id, job] : state.jobs) {
        require(id == job.id && !isFinal(job.state), "an open job has another id or a final state");
        const auto hasAllTasks = job.tasks.size() == static_cast<std::size_t>(job.spec.taskCount);
        require(job.state == job_state::Queued ? job.tasks.empty() : hasAllTasks, "a job has a wrong number of tasks");
        for (const auto& task : job.tasks)
            require(isIndex(task.worker, state.workers), "a task is on an unknown worker");
    }
    for (const auto& [id, job] : state.ended)
        require(id == job.id && isFinal(job.state) && job.tasks.empty(),
            "an ended job has another id, no final state or tasks");
    for (const auto& [id, reserved] : state.reservations) {
        require(state.jobs.contains(id), "a reservation is for an unknown job");
        for (const auto worker : reserved.workers)
            require(isIndex(worker, state.workers), "a reservation is on an unknown worker");
    }
    for (const auto& instance : state.witness) {
        require(
            isIndex(instance.workspace, state.configuration.workspaces), "a guarantee belongs to an unknown workspace");
        for (const auto worker : instance.workers)
            require(isIndex(worker, state.workers), "a guarantee is on an unknown worker");
    }
    for (const auto& worker : state.workers)
        for (const auto& [id, rank] : worker.tasks) {
            const auto job = state.jobs.find(id);
            require(job != state.jobs.end() && isIndex(rank, job->second.tasks), "a worker runs an unknown task");
        }
}

} // namespace chervilport
