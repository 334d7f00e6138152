#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/persisted_state.h"

#include <cstdint>
#include <vector>

namespace chervilport {

/// Result of restoring a group from the disk of one member.
struct restored_group {
    /// State to store before the member is started again. The survivor is the only voter. The others are learners that
    /// become voters again once they have responded and caught up.
    persisted_state state;
    /// Index of the last entry on the disk. Acknowledged entries after it are lost.
    std::uint64_t lastIndex = 0;
    /// Term of that entry.
    std::uint64_t lastTerm = 0;
    /// Voters of the last membership on the disk, other than the survivor.
    std::vector<member> droppedVoters;
    /// Whether entries that this disk lacks may have been acknowledged: true unless the survivor was the only voter.
    bool entriesMayBeMissing = false;
};

/// Restores a group from the disk of `survivor`, the only one left. Only for an explicit command of an operator who has
/// made sure that every other member has lost its state or is stopped permanently: another running member would cause a
/// split brain. Throws `InvalidRequest` when the disk has no membership that lists the survivor with its incarnation.
restored_group restoreFromDisk(const persisted_state&, const member& survivor);

} // namespace chervilport
