#pragma once

#include "chervilport/routing/upstream_id.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chervilport {

/// An upstream that a request could be sent to.
struct upstream_candidate {
    /// Which one.
    upstream_id id;
    /// Slots of it that this instance may use.
    std::int32_t share = 0;
    /// Slots of them in use.
    std::int32_t inUse = 0;
    /// Factor by which its load counts more, from 1; see loadFactor().
    double factor = 1;
    /// Whether a probe of an ejected upstream is due; it is chosen first, so that the upstream can return.
    bool isProbe = false;
};

/// Returns the index of the candidate that is least loaded relative to its share and has a free slot, or nothing if
/// there is none. The seed decides between equals.
std::optional<std::size_t> chooseUpstream(std::span<const upstream_candidate>, std::uint64_t seed);

} // namespace chervilport
