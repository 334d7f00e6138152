#pragma once

#include "chervilport/consensus/replica_config.h"
#include "chervilport/settings/settings.h"

namespace chervilport {

class instance_storage;

/// Replication group of an instance.
enum class group_scope : std::uint8_t {
    /// The group of a failure domain.
    Domain,
    /// The group of the fleet.
    Fleet,
};

/// Returns the name of a group's log in the data folder.
std::string groupName(group_scope);

/// Returns the parameters of this instance's replica. A group begins with one voter: a single instance begins its
/// groups by itself, one of a cluster only when it is told to initialize it, and only when it has no log yet. The other
/// voters of the settings are listed as learners, which the leader admits under the incarnation they answer with. Every
/// other instance joins. Throws chervilport_error of kind InvalidRequest when an instance without a disk is to
/// initialize a cluster, because it would begin a second group at its next start.
replica_config makeGroupConfig(const settings&, group_scope, const instance_storage&);

} // namespace chervilport
