#pragma once

#include <cstdint>

namespace chervilport {

/// How close together the tasks of a gang must be placed.
enum class adjacency : std::uint8_t {
    /// Anywhere in the failure domain.
    Any,
    /// In one rack or in racks with consecutive positions.
    AdjacentRacks,
    /// In one rack.
    Rack,
    /// On one worker.
    Worker,
};

} // namespace chervilport
