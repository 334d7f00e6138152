#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/persisted_state.h"

#include <cstdint>
#include <vector>

namespace chervilport {

/// A group that an operator restores from the disk of one member, and what the restore means.
struct restored_group {
    /// State to store before the member is started again. The survivor is its only voter; the others are learners that
    /// become voters again once they have answered and caught up.
    persisted_state state;
    /// Last entry and its term that the disk held. Entries after it that were acknowledged are lost.
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    /// Voters of the last known membership, other than the survivor.
    std::vector<member> dropped;
    /// Whether entries may have been acknowledged without this disk: true unless the survivor was the only voter.
    bool entriesMayBeMissing = false;
};

/// Restores a group of which only the disk of `survivor` is left. Only for an explicit command of an operator who knows
/// that every other member has lost its state or is stopped for good: with another one alive the group would split.
/// Throws `InvalidRequest` when the disk holds no membership that lists the survivor under its incarnation.
restored_group restoreFromDisk(const persisted_state&, const member& survivor);

} // namespace chervilport
