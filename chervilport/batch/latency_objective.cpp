#include "chervilport/batch/latency_objective.h"

namespace chervilport::batch {

double objectiveMs(const batch_state& state, const run_estimates& estimates, const job_record& job)
{
    const auto& queue = queueOf(state.config, job);
    return queue.stretch * expectedChainMs(estimates, job) + static_cast<double>(queue.baseObjectiveMs);
}

bool isExpired(const batch_state& state, const run_estimates& estimates, const job_record& job, std::int64_t nowMs)
{
    if (job.request.repeatCount > 0 || job.request.steps.front().longRunning)
        return false;
    // A job that has not started has its longest chain of steps left. One that started and has no active run counts
    // with the run time of its last step. The progress of active runs is unknown, so only the age of the job counts.
    const auto remainingMs = job.activeRuns == 0 && job.occurrencesDone == 0 && !job.occurrences.empty()
        ? expectedRunMs(estimates, job, job.request.steps.back())
        : (job.hasStarted ? 0.0 : expectedChainMs(estimates, job));
    const auto finish = static_cast<double>(nowMs - job.acceptedMs) + remainingMs;
    return finish > expiryFactor * objectiveMs(state, estimates, job);
}

} // namespace chervilport::batch
