#pragma once

#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Workers of equal capacity in one rack.
struct worker_group {
    /// Position of the rack; racks with consecutive positions are adjacent.
    std::int32_t rackPosition = 0;
    /// Number of workers.
    std::int32_t workers = 0;
    /// Total capacity of each worker.
    resources capacity;

    friend bool operator==(const worker_group&, const worker_group&) = default;
};

/// Workers of a failure domain that a proof may use.
struct domain_capacity {
    /// Name of the failure domain.
    std::string name;
    /// Its workers, grouped by rack and capacity.
    std::vector<worker_group> groups;

    friend bool operator==(const domain_capacity&, const domain_capacity&) = default;
};

} // namespace chervilport
