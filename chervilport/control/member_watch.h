#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/consensus/membership.h"
#include "chervilport/core/log_time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace chervilport {

/// What an instance knows about the presence of the group's members. Every instance keeps it, so that a new leader can
/// remove a replaced member as soon as the previous one could.
struct member_watch {
    /// Members of the newest membership.
    std::set<member_id> members;
    /// When a membership first listed a member that the one before did not; the epoch for never.
    log_time lastAdmission;
    /// Peers without a connection, and since when.
    std::map<member_id, log_time> disconnectedSince;
};

/// Records the membership in force. The first one is no admission: it may have been restored from the disk.
void recordMembership(member_watch&, const membership&, log_time now);

/// Returns a voter to remove: one that has been disconnected for long while the group has more voters than
/// `requiredVoters`. After a recent admission the time is short, because the new member replaces the disconnected one,
/// which would otherwise still count towards the quorum.
std::optional<member_id> chooseRemoval(
    const member_watch&, const membership&, member_id self, std::size_t requiredVoters, log_time now);

} // namespace chervilport
