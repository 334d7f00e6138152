#include "chervilport/batch/pending_jobs.h"

#include <algorithm>

namespace chervilport::batch {

namespace {

    /// Returns whether a task has begun. Only its first run can show that it has not: how an earlier run ended is not
    /// recorded.
    bool hasBegun(const task_ref& ref, const task_record& task, const run_confirmation& isConfirmed)
    {
        const bool isFirstRun = task.lastRun == 1 && task.worker != noWorker && !task.done;
        if (!isFirstRun)
            return task.lastRun > 0;
        return isConfirmed(task.worker, { ref, task.lastRun });
    }

    bool hasBegun(const job_record& job, const run_confirmation& isConfirmed)
    {
        if (!job.hasStarted || job.activeRuns == 0)
            return job.hasStarted;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (hasBegun({ job.request.id, number, step, i }, tasks[i], isConfirmed))
                        return true;
                }
            }
        }
        return false;
    }

} // namespace

std::size_t countPendingJobs(const batch_state& state, std::string_view queue, const run_confirmation& isConfirmed)
{
    return static_cast<std::size_t>(std::count_if(state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
        const auto& job = entry.second;
        return job.phase == job_phase::Active && job.request.repeatCount == 0 && job.queue == queue
            && !hasBegun(job, isConfirmed);
    }));
}

} // namespace chervilport::batch
