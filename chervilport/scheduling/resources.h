#pragma once

#include <cstdint>

namespace chervilport {

/// Amounts of a worker's resources, as a capacity, a demand or a use.
struct resources {
    /// Accelerators (GPUs), whole units.
    std::int32_t accelerators = 0;
    /// Processor share in thousandths of a core.
    std::int32_t millicores = 0;
    /// Memory in mebibytes.
    std::int64_t memoryMb = 0;

    friend bool operator==(const resources&, const resources&) = default;
};

} // namespace chervilport
