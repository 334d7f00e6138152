#pragma once

#include "chervilport/scheduling/shape.h"

#include <cstdint>
#include <vector>

namespace chervilport {

/// One guaranteed gang of a workspace and the places that are kept reclaimable for it. The witness consists of all
/// instances.
struct witness_instance {
    /// Index of the workspace in the configuration.
    std::int32_t workspace = 0;
    /// The gang; its count is not used.
    shape gang;
    /// Worker index of each task; empty if no place was found.
    std::vector<std::int32_t> workers;
};

} // namespace chervilport
