#pragma once

#include "chervilport/consensus/hard_state.h"
#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/snapshot.h"

#include <optional>
#include <vector>

namespace chervilport {

/// State that storage returns at start.
struct persisted_state {
    /// Term and vote.
    hard_state hardState;
    /// Last snapshot, if one was taken.
    std::optional<snapshot> lastSnapshot;
    /// Entries after the snapshot, without gaps.
    std::vector<log_entry> entries;
};

} // namespace chervilport
