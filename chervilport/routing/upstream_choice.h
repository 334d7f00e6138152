#pragma once

#include "chervilport/routing/upstream_id.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chervilport {

/// An upstream that a request could be sent to.
struct upstream_candidate {
    /// Address and incarnation of the upstream.
    upstream_id id;
    /// Slots of the upstream that this instance may use.
    std::int32_t share = 0;
    /// Slots of the share that are in use.
    std::int32_t inUse = 0;
    /// Factor by which its load is multiplied, at least 1; see loadFactor().
    double factor = 1;
    /// Whether a probe of an ejected upstream is due. Such a candidate is chosen first, so that the upstream can
    /// recover.
    bool isProbe = false;
};

/// Returns the index of the candidate with a free slot that is least loaded relative to its share; nothing if there is
/// none. The seed determines the choice between equally loaded candidates.
std::optional<std::size_t> chooseUpstream(std::span<const upstream_candidate>, std::uint64_t seed);

} // namespace chervilport
