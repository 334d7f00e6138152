#include "chervilport/batch/job_urgency.h"

namespace chervilport::batch {

namespace {

    /// A result is of some use up to this multiple of the objective.
    constexpr double uselessAfter = 3.0;

} // namespace

job_outlook judgeOutlook(
    const batch_state& state, const run_estimates& estimates, const ready_step& ready, std::int64_t nowMs)
{
    const auto* const queue = findQueue(state.config, ready.job->queue);
    if (queue == nullptr || specOf(ready).longRunning)
        return job_outlook::InTime;
    const auto objective
        = queue->stretch * expectedChainMs(estimates, *ready.job) + static_cast<double>(queue->targetMs);
    const auto age = static_cast<double>(nowMs - ready.readySinceMs);
    const auto finish = age + expectedChainMs(estimates, *ready.job, ready.step);
    if (finish <= objective)
        return job_outlook::InTime;
    return finish <= uselessAfter * objective ? job_outlook::Late : job_outlook::Overdue;
}

} // namespace chervilport::batch
