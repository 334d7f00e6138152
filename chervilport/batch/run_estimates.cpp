#include "chervilport/batch/run_estimates.h"

#include <algorithm>
#include <vector>

namespace chervilport::batch {

namespace {

    /// Number of observed runs of a queue from which their mean replaces the estimate of the submitter.
    constexpr std::uint32_t minSamples = 8;
    /// Minimum weight of a new run in the moving average.
    constexpr double newSampleWeight = 0.05;

    /// Returns for each step the expected time of the longest chain that starts with it, in milliseconds.
    std::vector<double> chainTimesMs(const run_estimates& estimates, const job_record& job)
    {
        const auto& steps = job.request.steps;
        std::vector<double> following(steps.size(), 0);
        std::vector<double> chain(steps.size(), 0);
        // A step depends only on earlier steps, so iterating backwards visits all dependants of a step before it.
        for (auto i = steps.size(); i-- > 0;) {
            chain[i] = following[i] + expectedRunMs(estimates, job, steps[i]);
            for (const auto earlier : steps[i].dependsOn)
                following[earlier] = std::max(following[earlier], chain[i]);
        }
        return chain;
    }

} // namespace

void recordRunTime(run_estimates& estimates, const std::string& queue, std::int64_t runMs)
{
    auto& runTime = estimates.byQueue[queue];
    ++runTime.samples;
    const auto weight = std::max(newSampleWeight, 1.0 / runTime.samples);
    runTime.meanMs += (static_cast<double>(runMs) - runTime.meanMs) * weight;
}

bool isLearnt(const run_estimates& estimates, const std::string& queue)
{
    const auto found = estimates.byQueue.find(queue);
    return found != estimates.byQueue.end() && found->second.samples >= minSamples;
}

double expectedRunMs(const run_estimates& estimates, const job_record& job, const step_spec& step)
{
    if (isLearnt(estimates, job.queue.name))
        return estimates.byQueue.at(job.queue.name).meanMs;
    return static_cast<double>(step.estimateMs);
}

double expectedChainMs(const run_estimates& estimates, const job_record& job, std::uint32_t step)
{
    return chainTimesMs(estimates, job)[step];
}

double expectedChainMs(const run_estimates& estimates, const job_record& job)
{
    const auto all = chainTimesMs(estimates, job);
    return all.empty() ? 0 : *std::max_element(all.begin(), all.end());
}

} // namespace chervilport::batch
