#pragma once

#include "chervilport/scheduling/adjacency.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>

namespace chervilport {

/// A part of a workspace's guarantee, for example "2 gangs of 16 accelerators in one rack".
struct shape {
    /// How many gangs of this shape are guaranteed at once.
    std::int32_t count = 1;
    /// Tasks of each gang.
    std::int32_t taskCount = 1;
    /// Demand of each task.
    resources perTask;
    /// Required closeness of the tasks of a gang.
    adjacency placement = adjacency::Any;

    friend bool operator==(const shape&, const shape&) = default;
};

} // namespace chervilport
