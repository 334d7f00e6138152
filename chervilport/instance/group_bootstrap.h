#pragma once

#include "chervilport/consensus/replica_config.h"
#include "chervilport/settings/settings.h"

namespace chervilport {

class instance_storage;

/// Scope of a replication group.
enum class group_scope : std::uint8_t {
    /// Group of a failure domain.
    Domain,
    /// Group of the fleet.
    Fleet,
};

/// Returns the name of a group's log in the data folder.
std::string groupName(group_scope);

/// Returns the parameters of this instance's replica. A group is bootstrapped with one voter. A single instance
/// bootstraps its groups; an instance of a cluster does so only when its settings say to initialize the cluster.
/// Neither bootstraps a group that already has a log. The other voters of the settings start as learners, which the
/// leader admits under the incarnation they respond with. All other instances join. Throws chervilport_error of kind
/// InvalidRequest when an instance without a disk is to initialize a cluster, because it would bootstrap a second group
/// at its next start.
replica_config makeGroupConfig(const settings&, group_scope, const instance_storage&);

} // namespace chervilport
