#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A workspace with its keys and its guarantee.
struct workspace_quota {
    /// Unique name.
    std::string name;
    /// Keys that identify calls of the workspace.
    std::vector<std::string> keys;
    /// Number of accelerators that are guaranteed to the jobs of priority 0 of the workspace.
    std::int64_t guaranteedAccelerators = 0;

    friend bool operator==(const workspace_quota&, const workspace_quota&) = default;
};

} // namespace chervilport::batch
