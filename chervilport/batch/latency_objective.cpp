#include "chervilport/batch/latency_objective.h"

#include "chervilport/batch/guaranteed_jobs.h"

namespace chervilport::batch {

namespace {

    /// A result is useful up to this multiple of the objective; a job that finishes later expires.
    constexpr double expiryFactor = 3.0;
    /// Ratio of the slack of an objective after which a step that waits is at risk. Run times differ by about a third
    /// from the expected ones.
    constexpr double riskSlackRatio = 0.65;

} // namespace

double objectiveMs(const batch_state& state, const run_estimates& estimates, const job_record& job)
{
    const auto* const queue = findQueue(state.config, job.queue);
    const auto stretch = queue != nullptr ? queue->stretch : 1.0;
    const auto base = queue != nullptr ? static_cast<double>(queue->baseObjectiveMs) : 0.0;
    return stretch * expectedChainMs(estimates, job) + base;
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

objective_status objectiveStatusOf(
    const batch_state& state, const run_estimates& estimates, const ready_step& ready, std::int64_t nowMs)
{
    if (specOf(ready).longRunning)
        return objective_status::OnTime;
    const auto objective = objectiveMs(state, estimates, *ready.job);
    const auto age = static_cast<double>(nowMs - ready.jobDueMs);
    const auto finish = age + expectedChainMs(estimates, *ready.job, ready.step);
    if (finish <= objective)
        return objective_status::OnTime;
    return finish <= expiryFactor * objective ? objective_status::Late : objective_status::Expired;
}

bool isAtRisk(const batch_state& state, const run_estimates& estimates, const ready_step& ready, std::int64_t nowMs)
{
    if (specOf(ready).longRunning || ready.job->priority == guaranteedPriority)
        return false;
    const auto slack = objectiveMs(state, estimates, *ready.job) - expectedChainMs(estimates, *ready.job, ready.step);
    return static_cast<double>(nowMs - ready.jobDueMs) > riskSlackRatio * slack;
}

} // namespace chervilport::batch
