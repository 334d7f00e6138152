#pragma once

#include "chervilport/scheduling/policy_config.h"
#include "chervilport/scheduling/resources.h"
#include "chervilport/scheduling/workspace_config.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::policy_benchmark {

/// Categories of jobs; measurements are also reported per category.
enum class job_category : std::uint8_t {
    /// Gangs of 32 to 64 tasks that run for hours and have a deadline.
    LargeGang,
    /// Gangs of 8 to 24 tasks that run for hours and have a deadline.
    MediumGang,
    /// 1 to 4 tasks that run for minutes.
    Small,
    /// 1 to 4 tasks that should start immediately.
    Urgent,
    /// Jobs without a deadline.
    Batch,
};

/// Number of job categories.
inline constexpr std::size_t categoryCount = 5;

/// Names of the categories in the order of the enumeration.
inline constexpr std::array<const char*, categoryCount> categoryNames
    = { "large_gang", "medium_gang", "small", "urgent", "batch" };

/// A simulated site: its workers, workload and policy.
struct profile {
    /// Name in the results.
    std::string name;
    /// Number of workers.
    std::int32_t workers = 0;
    /// Capacity of each worker.
    resources workerCapacity;
    /// Workers in a rack; the last rack may be smaller.
    std::int32_t workersPerRack = 8;
    /// Length of the period in which jobs are submitted, in days.
    std::int32_t days = 1;
    /// Jobs submitted per day at a load of 0.9; other loads change it in proportion.
    std::int32_t jobsPerDay = 0;
    /// Relative weight of each category in the number of jobs.
    std::array<std::int32_t, categoryCount> categoryWeights {};
    /// Weights of 1, 2 and 4 accelerators per task.
    std::array<std::int32_t, 3> acceleratorWeights {};
    /// Workspaces with guarantees and quotas.
    std::vector<workspace_config> workspaces;
    /// Weight of each workspace in the choice of a job's workspace.
    std::vector<std::int32_t> workspaceWeights;
    /// Policy parameters.
    policy_config policy;
    /// Whether one fault takes down all workers for a period.
    bool hasDomainOutage = false;
};

/// Returns all profiles that are measured.
std::vector<profile> allProfiles();

/// Returns the number of racks.
std::int32_t rackCount(const profile&);

/// Returns the guaranteed shape that needs the most accelerators in one gang.
shape largestGuaranteedShape(const profile&);

} // namespace chervilport::policy_benchmark
