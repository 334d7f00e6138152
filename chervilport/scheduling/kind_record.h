#pragma once

#include "chervilport/core/log_time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Number of classes of the ratio between actual and declared run time; see estimates.h.
inline constexpr std::size_t ratioClassCount = 25;

/// Observations of the jobs of one workspace and kind.
struct kind_record {
    /// Completed jobs by the class of their ratio; halved when the sum reaches its bound, so that old ones lose weight.
    std::array<std::uint16_t, ratioClassCount> counts {};
    /// When it was last updated; the oldest record is evicted when the table is full.
    log_time updatedAt;
    /// Workers, by name, on which the kind failed since its last success; a bounded number.
    std::vector<std::string> failedOn;
};

} // namespace chervilport
