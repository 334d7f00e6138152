#pragma once

#include "chervilport/logging/log_level.h"
#include "chervilport/settings/instance_address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Settings of one instance. The defaults are those of a single instance that needs no file.
struct settings {
    /// Number of this instance.
    std::uint64_t instanceId = 1;
    /// Failure domain of this instance.
    std::string failureDomain = "local";
    /// Folder for durable state; empty for an instance without a disk.
    std::string dataFolder;
    /// IP address and port of the HTTP listener; port 0 takes any free port.
    std::string httpListen = "127.0.0.1:7400";
    /// IP address and port of the listener for other instances; port 0 takes any free port.
    std::string peerListen = "127.0.0.1:7401";
    /// File that gets the address of the HTTP listener once it accepts calls; empty for none.
    std::string addressFile;

    /// Whether this instance begins the replication group of its domain. Set by the command line for the very first
    /// start of one instance of a domain, never by a file, so that a lost disk cannot begin a second group by itself.
    bool initializeDomain = false;
    /// Whether this instance begins the replication group of the fleet; likewise, for one instance of the cluster.
    bool initializeFleet = false;

    /// Name of the cluster; instances of another cluster are refused.
    std::string clusterId = "local";
    /// File whose first line is the secret that instances prove to each other; empty only for a single instance.
    std::string secretFile;
    /// All instances of the cluster, this one included; empty for a single instance.
    std::vector<instance_address> instances;

    /// File with bearer tokens, one `token workspace|operator` pair a line; empty for no access control.
    std::string tokenFile;
    /// Whether a listener without tokens may bind to an address other than loopback.
    bool allowOpenListener = false;

    /// Largest request body, in bytes.
    std::size_t maxBodyBytes = std::size_t { 1 } << 20;
    /// Longest target and longest value of one header field of a request, in bytes.
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    /// Connections accepted at once by the HTTP listener.
    std::size_t maxConnections = 2'000;
    /// Requests waiting for a slot at once.
    std::size_t maxQueuedRequests = 1'000;

    /// Length of a worker's lease.
    std::chrono::milliseconds lease { 30'000 };
    /// Time between two renewals of a worker's lease.
    std::chrono::milliseconds leaseRenewal { 10'000 };
    /// Time after which an executor that did not announce itself is gone.
    std::chrono::milliseconds announcementExpiry { 10'000 };
    /// Heartbeat of the domain's replication group.
    std::chrono::milliseconds domainHeartbeat { 300 };
    /// Shortest election timeout of the domain's replication group.
    std::chrono::milliseconds domainElection { 1'000 };
    /// Heartbeat of the fleet's replication group.
    std::chrono::milliseconds fleetHeartbeat { 1'000 };
    /// Shortest election timeout of the fleet's replication group.
    std::chrono::milliseconds fleetElection { 4'000 };
    /// Time after the beginning of a planned stop in which new requests are still served, so that the balancer can
    /// notice.
    std::chrono::milliseconds drainDelay { 2'000 };
    /// Longest time that a planned stop waits for requests in flight.
    std::chrono::milliseconds drainTimeout { 60'000 };

    /// Lowest severity that is logged.
    log_level logLevel = log_level::Info;
    /// Log file; empty for standard error.
    std::string logFile;
};

} // namespace chervilport
