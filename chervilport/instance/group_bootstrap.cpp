#include "chervilport/instance/group_bootstrap.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/instance_storage.h"

#include <random>

namespace chervilport {

namespace {

    bool isVoterOf(const settings& values, group_scope scope, const instance_address& listed)
    {
        if (scope == group_scope::Fleet)
            return listed.isFleetVoter;
        return listed.isDomainVoter && listed.failureDomain == values.failureDomain;
    }

    membership initialMembership(const settings& values, group_scope scope, const member& self)
    {
        membership members;
        members.voters.push_back(self);
        for (const auto& listed : values.instances) {
            if (listed.id == values.instanceId || !isVoterOf(values, scope, listed))
                continue;
            // Incarnation 0 is never assigned, so the leader admits the instance under the incarnation of its first
            // response.
            members.learners.push_back({ static_cast<member_id>(listed.id), 0, listed.hasDisk, true });
        }
        return members;
    }

} // namespace

std::string groupName(group_scope scope) { return scope == group_scope::Domain ? "domain" : "fleet"; }

replica_config makeGroupConfig(const settings& values, group_scope scope, const instance_storage& storage)
{
    replica_config config;
    config.self = { static_cast<member_id>(values.instanceId), storage.incarnation(), storage.hasDisk() };
    config.heartbeatInterval = scope == group_scope::Domain ? values.domainHeartbeat : values.fleetHeartbeat;
    config.electionTimeout = scope == group_scope::Domain ? values.domainElection : values.fleetElection;
    config.seed = std::random_device {}();

    const bool initialize = scope == group_scope::Domain ? values.initializeDomain : values.initializeFleet;
    const bool isSingleInstance = values.instances.size() < 2;
    if (!isSingleInstance && initialize && !storage.hasDisk())
        throw chervilport_error(
            error_kind::InvalidRequest, "only an instance with a data folder may initialize a cluster");
    if ((isSingleInstance || initialize) && !storage.hasGroup(groupName(scope)))
        config.initialMembership = initialMembership(values, scope, config.self);
    return config;
}

} // namespace chervilport
