#include "benchmarks/policy/fragmentation.h"

#include <algorithm>

namespace chervilport::policy_benchmark {

void addFragmentationSample(fragmentation_sums& sums, const fleet_map& free, const shape& largest)
{
    /// Tasks of the largest gang that a job may have.
    constexpr std::int32_t maxGangTasks = 64;
    std::int64_t freeAccelerators = 0;
    for (const auto& worker : free.workers)
        freeAccelerators += worker.free.accelerators;
    const std::int64_t perGang = static_cast<std::int64_t>(largest.taskCount) * largest.perTask.accelerators;
    const auto fitByNumber = freeAccelerators / perGang;

    // Place as many gangs of the shape as fit.
    const gang_demand demand { largest.taskCount, largest.perTask, largest.placement };
    auto remaining = free;
    std::int64_t placed = 0;
    while (placed < fitByNumber) {
        const auto workers = placeFirstFit(remaining, demand);
        if (!workers)
            break;
        allocate(remaining, *workers, demand.perTask);
        ++placed;
    }
    sums.free += freeAccelerators;
    sums.unusable += freeAccelerators - placed * perGang;
    if (fitByNumber > 0) {
        sums.freeWhereOneFits += freeAccelerators;
        sums.avoidable += (fitByNumber - placed) * perGang;
    }

    // Place one gang that is as large as possible.
    const std::int64_t limit = static_cast<std::int64_t>(maxGangTasks) * largest.perTask.accelerators;
    sums.freeUpToLargestGang += std::min(freeAccelerators, limit);
    sums.largestGang
        += static_cast<std::int64_t>(largestPlaceable(free, demand, maxGangTasks)) * largest.perTask.accelerators;
}

} // namespace chervilport::policy_benchmark
