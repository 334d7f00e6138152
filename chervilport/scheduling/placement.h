#pragma once

#include "chervilport/scheduling/adjacency.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// A rack and its workers.
struct rack_entry {
    /// Position; racks with consecutive positions are adjacent.
    std::int32_t position = 0;
    /// Name.
    std::string name;
    /// Indexes of its workers, ascending.
    std::vector<std::int32_t> workers;
};

/// Racks in the order of position and name.
using rack_index = std::vector<rack_entry>;

/// How many tasks of one demand each worker can take. All members are indexed by worker.
struct slot_table {
    /// Tasks that fit into free capacity.
    std::vector<std::int32_t> free;
    /// Tasks that fit once the jobs that may be stopped have ended; not below `free`.
    std::vector<std::int32_t> total;
    /// Cost of each task beyond the free ones; used only where `total` exceeds `free`.
    std::vector<std::int64_t> cost;
    /// Free accelerators, for best fit.
    std::vector<std::int32_t> freeAccelerators;
};

/// Finds a worker for each task of a gang, or nothing if it does not fit. Prefers the lowest cost, then the fewest
/// workers and racks, then those with the least free capacity, so that whole racks and workers stay free.
std::optional<std::vector<std::int32_t>> placeGang(
    const rack_index&, const slot_table&, std::int32_t taskCount, adjacency);

} // namespace chervilport
