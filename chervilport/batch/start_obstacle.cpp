#include "chervilport/batch/start_obstacle.h"

#include "chervilport/batch/worker_slot.h"

namespace chervilport::batch {

std::string_view nameOf(start_obstacle obstacle)
{
    switch (obstacle) {
    case start_obstacle::None:
        return "none";
    case start_obstacle::Draining:
        return "draining";
    case start_obstacle::Evacuated:
        return "evacuated";
    case start_obstacle::Overcommitted:
        return "overcommitted";
    case start_obstacle::Unsuitable:
        return "unsuitable";
    }
    return "unknown";
}

start_obstacle findStartObstacle(
    const batch_state& state, const worker_record& worker, const job_record& job, const task_ref& task)
{
    if (worker.report.draining)
        return start_obstacle::Draining;
    if (!acceptsRuns(state, worker))
        return start_obstacle::Evacuated;
    if (isOvercommitted(worker))
        return start_obstacle::Overcommitted;
    if (!isSuitable(worker.report, queueOf(state.config, job).service, job.request.steps[task.step]))
        return start_obstacle::Unsuitable;
    return start_obstacle::None;
}

} // namespace chervilport::batch
