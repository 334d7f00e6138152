#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>
#include <optional>

namespace chervilport {

/// Term and vote of a member, which must be persisted before a message that depends on them is sent.
struct hard_state {
    /// Highest term seen.
    std::uint64_t term = 0;
    /// Candidate that received this member's vote in the term, if any.
    std::optional<member_id> votedFor;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

} // namespace chervilport
