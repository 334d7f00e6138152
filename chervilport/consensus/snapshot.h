#pragma once

#include "chervilport/consensus/membership.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// State of the state machine after the entry `index` is applied.
struct snapshot {
    /// Index of the last entry included.
    std::uint64_t index = 0;
    /// Term of that entry.
    std::uint64_t term = 0;
    /// Membership in effect at that entry.
    membership members;
    /// Encoded state of the state machine.
    std::string data;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

} // namespace chervilport
