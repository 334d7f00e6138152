#include "benchmarks/policy/fragmentation.h"

#include <algorithm>

namespace chervilport::policy_benchmark {

void addFragmentationSample(fragmentation_sums& sums, const fleet_map& free, const shape& largest)
{
    /// Tasks of the largest gang that a job may have.
    constexpr std::int32_t largestGangTasks = 64;
    std::int64_t freeAccelerators = 0;
    for (const auto& worker : free.workers)
        freeAccelerators += worker.free.accelerators;
    const std::int64_t perGang = static_cast<std::int64_t>(largest.taskCount) * largest.perTask.accelerators;
    const auto fitByNumber = freeAccelerators / perGang;

    // Place as many gangs of the shape as there is room for.
    const gang_demand demand { largest.taskCount, largest.perTask, largest.placement };
    auto rest = free;
    std::int64_t placed = 0;
    while (placed < fitByNumber) {
        const auto workers = placeFirstFit(rest, demand);
        if (!workers)
            break;
        take(rest, *workers, demand.perTask);
        ++placed;
    }
    sums.free += freeAccelerators;
    sums.unusable += freeAccelerators - placed * perGang;
    if (fitByNumber > 0) {
        sums.freeWhereOneFits += freeAccelerators;
        sums.avoidable += (fitByNumber - placed) * perGang;
    }

    // Place one gang that is as large as possible.
    const std::int64_t limit = static_cast<std::int64_t>(largestGangTasks) * largest.perTask.accelerators;
    sums.freeUpToLargestGang += std::min(freeAccelerators, limit);
    sums.largestGang
        += static_cast<std::int64_t>(largestPlaceable(free, demand, largestGangTasks)) * largest.perTask.accelerators;
}

} // namespace chervilport::policy_benchmark
