#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// Upper bound of what a team may use at once.
struct team_quota {
    /// Team name, unique within its workspace.
    std::string team;
    /// Accelerators that the team's jobs may hold at once.
    std::int32_t maxAccelerators = 0;

    friend bool operator==(const team_quota&, const team_quota&) = default;
};

} // namespace chervilport
