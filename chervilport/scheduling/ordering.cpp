#include "chervilport/scheduling/ordering.h"

#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace chervilport {

namespace {

    /// A waiting job gains this many seconds of rank for each second in the queue.
    constexpr std::int32_t agingFactor = 2;

    /// Gangs of at least this many tasks are large; their run time is divided when they are ranked.
    constexpr std::int32_t largeGang = 32;
    constexpr std::int32_t largeGangDivisor = 12;

    /// Returns the rank of a job within its class; the lowest rank is first. Shortest job first reduces the mean
    /// completion time, aging bounds the wait of long jobs, and a deadline moves a job up as its slack shrinks.
    std::int64_t rankOf(const schedule_state& state, const job_record& job)
    {
        const auto remaining = remainingRunTime(state, job);
        const auto waited = state.now - job.submittedAt;
        // Places for large gangs rarely become free, so large gangs are ranked like shorter jobs.
        const auto weighted = job.spec.taskCount >= largeGang ? remaining / largeGangDivisor : remaining;
        auto rank = weighted - waited * agingFactor;
        if (job.spec.deadline)
            if (const auto slack = *job.spec.deadline - state.now - remaining; slack > log_duration(0))
                rank = std::min(rank, slack);
        return rank.count();
    }

} // namespace

std::vector<job_id> queueOrder(const schedule_state& state)
{
    std::vector<std::tuple<job_class, std::int64_t, job_id>> keyed;
    for (const auto& [id, job] : state.jobs)
        if (job.state == job_state::Queued)
            keyed.emplace_back(job.spec.jobClass, rankOf(state, job), id);
    std::sort(keyed.begin(), keyed.end());
    std::vector<job_id> order;
    order.reserve(keyed.size());
    for (const auto& entry : keyed)
        order.push_back(std::get<2>(entry));
    return order;
}

} // namespace chervilport
