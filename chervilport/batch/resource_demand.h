#pragma once

#include <cstdint>

namespace chervilport::batch {

/// Amounts of resources: the capacity of a worker or the demand of a task.
struct resource_demand {
    /// Thousandths of a core.
    std::int64_t milliCores = 0;
    /// Megabytes of memory.
    std::int64_t memoryMb = 0;
    /// Number of accelerators.
    std::int64_t accelerators = 0;

    friend bool operator==(const resource_demand&, const resource_demand&) = default;
};

/// Returns whether the demand does not exceed the free capacity in any resource.
inline bool fitsInto(const resource_demand& demand, const resource_demand& freeCapacity)
{
    return demand.milliCores <= freeCapacity.milliCores && demand.memoryMb <= freeCapacity.memoryMb
        && demand.accelerators <= freeCapacity.accelerators;
}

/// Adds `amount * times` to the sum; `times` may be negative.
inline void addScaled(resource_demand& sum, const resource_demand& amount, std::int64_t times)
{
    sum.milliCores += amount.milliCores * times;
    sum.memoryMb += amount.memoryMb * times;
    sum.accelerators += amount.accelerators * times;
}

/// Returns the free capacity less the used amounts; can be negative.
inline resource_demand subtract(resource_demand freeCapacity, const resource_demand& used)
{
    addScaled(freeCapacity, used, -1);
    return freeCapacity;
}

} // namespace chervilport::batch
