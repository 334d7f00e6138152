#pragma once

#include "chervilport/scheduling/adjacency.h"
#include "chervilport/scheduling/resources.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace chervilport::policy_benchmark {

/// Free capacity of a worker.
struct fleet_slot {
    /// Free resources; zero while the worker is lost.
    resources free;
    /// Position of its rack.
    std::int32_t rackPosition = 0;
};

/// Free capacity of a fleet; workers are in order of their racks, and racks have consecutive positions from 0.
struct fleet_map {
    /// The workers.
    std::vector<fleet_slot> workers;
};

/// Demand of a gang.
struct gang_demand {
    /// Number of tasks.
    std::int32_t taskCount = 1;
    /// Demand of each task.
    resources perTask;
    /// Required adjacency.
    adjacency placement = adjacency::Any;
};

/// Returns the sum of two amounts.
resources add(const resources&, const resources&);

/// Returns the difference of two amounts.
resources subtract(const resources&, const resources&);

/// Returns whether no amount is negative.
bool isNonNegative(const resources&);

/// Returns the number of tasks that fit the free resources.
std::int32_t tasksThatFit(const resources& free, const resources& perTask);

/// Returns the first placement of all tasks of a gang, as the worker index of each task, or nothing if it does not
/// fit. Workers listed in `excluded` are not used.
std::optional<std::vector<std::size_t>> placeFirstFit(
    const fleet_map&, const gang_demand&, std::span<const std::size_t> excluded = {});

/// Returns the largest number of tasks, at most `limit`, that can be placed as one gang with the required adjacency.
std::int32_t largestPlaceable(const fleet_map&, const gang_demand&, std::int32_t limit);

/// Subtracts the demand of one task per entry of `workers` from the free capacity.
void allocate(fleet_map&, std::span<const std::size_t> workers, const resources& perTask);

/// Returns whether a placement meets the adjacency.
bool meetsAdjacency(const fleet_map&, std::span<const std::size_t> workers, adjacency);

} // namespace chervilport::policy_benchmark
