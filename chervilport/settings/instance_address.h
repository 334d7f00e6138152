#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// An instance of the cluster as the settings list it.
struct instance_address {
    /// Number of the instance, unique in the cluster, from 1.
    std::uint64_t id = 0;
    /// Failure domain of the instance.
    std::string failureDomain;
    /// IP address and port of the HTTP listener.
    std::string http;
    /// IP address and port of the listener for other instances.
    std::string peer;
    /// Whether the instance has a data folder.
    bool hasDisk = false;
    /// Whether the instance is a voter of its domain's replication group at the first start.
    bool isDomainVoter = false;
    /// Whether the instance is a voter of the fleet's replication group at the first start.
    bool isFleetVoter = false;
};

} // namespace chervilport
