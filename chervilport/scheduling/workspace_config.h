#pragma once

#include "chervilport/scheduling/shape.h"
#include "chervilport/scheduling/team_quota.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// A workspace as the accepted configuration describes it for one failure domain.
struct workspace_config {
    /// Name, unique in the environment.
    std::string name;
    /// Guaranteed shapes; all of them must be reclaimable at any time.
    std::vector<shape> guarantee;
    /// Accelerators that the workspace may hold at once beyond its guarantee; negative for no bound.
    std::int32_t maxBorrowedAccelerators = -1;
    /// Quotas of the teams; a team that is not listed is bound only by the workspace.
    std::vector<team_quota> teams;

    friend bool operator==(const workspace_config&, const workspace_config&) = default;
};

} // namespace chervilport
