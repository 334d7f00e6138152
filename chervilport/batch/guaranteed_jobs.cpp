#include "chervilport/batch/guaranteed_jobs.h"

#include "chervilport/batch/latency_objective.h"

#include <algorithm>
#include <map>
#include <vector>

namespace chervilport::batch {

std::int64_t peakAccelerators(const job_request& request)
{
    std::int64_t sum = 0;
    for (const auto& step : request.steps)
        sum += step.demand.accelerators * static_cast<std::int64_t>(step.count);
    return sum;
}

std::set<std::string> guaranteedJobs(const batch_state& state, const run_estimates& estimates, std::int64_t nowMs)
{
    // Collect the jobs that count towards a guarantee.
    std::map<std::string, std::vector<const job_record*>> byWorkspace;
    for (const auto& [id, job] : state.jobs) {
        if (job.phase == job_phase::Active && job.queue.priority == guaranteedPriority
            && !isExpired(state, estimates, job, nowMs))
            byWorkspace[job.workspace].push_back(&job);
    }
    // Take the oldest jobs of each workspace up to its guarantee.
    std::set<std::string> guaranteed;
    for (const auto& quota : state.config.workspaces) {
        const auto found = byWorkspace.find(quota.name);
        if (found == byWorkspace.end())
            continue;
        auto& jobs = found->second;
        std::sort(jobs.begin(), jobs.end(), [](const job_record* left, const job_record* right) {
            return std::tie(left->acceptedMs, left->request.id) < std::tie(right->acceptedMs, right->request.id);
        });
        auto remaining = quota.guaranteedAccelerators;
        for (const auto* const job : jobs) {
            remaining -= peakAccelerators(job->request);
            if (remaining < 0)
                break;
            guaranteed.insert(job->request.id);
        }
    }
    return guaranteed;
}

} // namespace chervilport::batch
