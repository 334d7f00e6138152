#include "benchmarks/policy/lower_bound.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace chervilport::policy_benchmark {

namespace {

    constexpr double microsecondsPerSecond = 1e6;

    double secondsOf(log_duration time) { return static_cast<double>(time.count()) / microsecondsPerSecond; }

    // A measured job, in seconds, with the time that the entire fleet would need for it.
    struct relaxed_job {
        double release = 0;
        double runTime = 0;
        double fleetTime = 0;
    };

    std::vector<relaxed_job> relaxedJobs(const event_stream& stream)
    {
        const auto capacity = static_cast<double>(stream.site.workers) * stream.site.workerCapacity.accelerators;
        std::vector<relaxed_job> jobs;
        for (const auto& job : stream.jobs) {
            if (!isMeasured(job))
                continue;
            const auto runTime = secondsOf(job.trueRunTime);
            jobs.push_back({ secondsOf(job.submittedAt.time_since_epoch()), runTime,
                runTime * static_cast<double>(acceleratorsOf(job.spec)) / capacity });
        }
        return jobs;
    }

    // Returns the sum over the jobs of the mean time at which the fleet processes each, when the job with the shortest
    // fleet time runs first. This order minimizes the sum on one preemptive machine with release times.
    double sumOfMeanBusyTimes(const std::vector<relaxed_job>& jobs)
    {
        using entry = std::pair<double, std::size_t>;
        std::priority_queue<entry, std::vector<entry>, std::greater<>> ready;
        std::vector<double> remaining;
        remaining.reserve(jobs.size());
        for (const auto& job : jobs)
            remaining.push_back(job.fleetTime);
        double sum = 0;
        double now = 0;
        std::size_t next = 0;
        while (next < jobs.size() || !ready.empty()) {
            // Advance to the next release time and add the released jobs.
            if (ready.empty())
                now = std::max(now, jobs[next].release);
            while (next < jobs.size() && jobs[next].release <= now) {
                ready.emplace(jobs[next].fleetTime, next);
                ++next;
            }

            // Process the shortest job until it ends or another job is released.
            const auto index = ready.top().second;
            auto end = now + remaining[index];
            if (next < jobs.size())
                end = std::min(end, jobs[next].release);
            const auto worked = end - now;
            if (jobs[index].fleetTime > 0)
                sum += (now + worked / 2) * worked / jobs[index].fleetTime;
            remaining[index] -= worked;
            now = end;
            if (remaining[index] <= 1e-9)
                ready.pop();
        }
        return sum;
    }

} // namespace

double meanCompletionBoundSeconds(const event_stream& stream)
{
    const auto jobs = relaxedJobs(stream);
    if (jobs.empty())
        return 0;
    double runTimes = 0;
    double releases = 0;
    for (const auto& job : jobs) {
        runTimes += job.runTime;
        releases += job.release;
    }
    // A job that occupies its accelerators for its run time, in one or several pieces, ends at least half its run time
    // after the mean of the times at which it runs.
    const auto relaxed = sumOfMeanBusyTimes(jobs) + runTimes / 2 - releases;
    return std::max(runTimes, relaxed) / static_cast<double>(jobs.size());
}

} // namespace chervilport::policy_benchmark
