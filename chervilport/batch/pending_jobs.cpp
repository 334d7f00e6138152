#include "chervilport/batch/pending_jobs.h"

#include <algorithm>

namespace chervilport::batch {

namespace {

    /// Calls the function for each task of a job, and returns whether it returned true for one of them.
    template <typename Predicate> bool anyTask(const job_record& job, const Predicate& predicate)
    {
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (predicate(task_ref { job.request.id, number, step, i }, tasks[i]))
                        return true;
                }
            }
        }
        return false;
    }

    /// Returns whether a run of the job has ended.
    bool hasEndedRuns(const job_record& job)
    {
        return anyTask(job, [](const task_ref&, const task_record& task) {
            return task.lastRun > 1 || task.done || (task.lastRun == 1 && task.worker == noWorker);
        });
    }

    /// Returns whether callers of the queue see the job as one of its own. They know a queue by host and path only, so
    /// a queue that gets another name keeps its jobs.
    bool belongsTo(const job_record& job, const queue_config& queue)
    {
        const bool hasSameAddress = job.queue.host == queue.host && job.queue.pathPrefix == queue.pathPrefix;
        return hasSameAddress || job.queue.name == queue.name;
    }

    bool hasBegun(const batch_state& state, const job_record& job, const run_confirmation& isConfirmed)
    {
        if (!job.hasStarted)
            return false;
        // How an earlier run ended is recorded only if no run of the job has started.
        if (hasEndedRuns(job) && !state.unstartedJobs.contains(job.request.id))
            return true;
        return anyTask(job, [&](const task_ref& ref, const task_record& task) {
            return task.worker != noWorker && isConfirmed(task.worker, { ref, task.lastRun });
        });
    }

} // namespace

void recordUnstarted(batch_state& state, const job_record& job, run_end_kind kind)
{
    if (kind != run_end_kind::NotStarted)
        state.unstartedJobs.erase(job.request.id);
    else if (state.unstartedJobs.contains(job.request.id) || !hasEndedRuns(job))
        ++state.unstartedJobs[job.request.id];
}

std::size_t countPendingJobs(const batch_state& state, const queue_config& queue, const run_confirmation& isConfirmed)
{
    return static_cast<std::size_t>(std::count_if(state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
        const auto& job = entry.second;
        return job.phase == job_phase::Active && job.request.repeatCount == 0 && belongsTo(job, queue)
            && !hasBegun(state, job, isConfirmed);
    }));
}

} // namespace chervilport::batch
