#pragma once

#include "chervilport/consensus/member.h"

#include <vector>

namespace chervilport {

/// The members of a replication group.
struct membership {
    /// Members that count for elections and commits.
    std::vector<member> voters;
    /// Members that receive the log but do not count for elections and commits.
    std::vector<member> learners;

    friend bool operator==(const membership&, const membership&) = default;
};

} // namespace chervilport
