#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>
#include <optional>

namespace chervilport {

/// What a member must not forget between two messages.
struct hard_state {
    /// Highest term seen.
    std::uint64_t term = 0;
    /// Candidate that got the vote in this term, if any.
    std::optional<member_id> votedFor;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

} // namespace chervilport
