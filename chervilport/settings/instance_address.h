#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// Entry of an instance in the instance list of the settings.
struct instance_address {
    /// Id of the instance, from 1, unique in the cluster.
    std::uint64_t id = 0;
    /// Failure domain of the instance.
    std::string failureDomain;
    /// IP address and port of the HTTP listener.
    std::string http;
    /// IP address and port of the listener for other instances.
    std::string peer;
    /// Whether the instance has a data folder, and so a disk.
    bool hasDisk = false;
    /// Whether the instance is an initial voter of the replication group of its failure domain.
    bool isDomainVoter = false;
    /// Whether the instance is an initial voter of the replication group of the fleet.
    bool isFleetVoter = false;
};

} // namespace chervilport
