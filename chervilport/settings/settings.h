#pragma once

#include "chervilport/logging/log_level.h"
#include "chervilport/settings/instance_address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Settings of one instance. The defaults are those of a single instance without a settings file.
struct settings {
    /// Id of this instance, from 1.
    std::uint64_t instanceId = 1;
    /// Failure domain of this instance.
    std::string failureDomain = "local";
    /// Folder for durable state; empty for an instance without a disk.
    std::string dataFolder;
    /// IP address and port of the HTTP listener; port 0 takes any free port.
    std::string httpListen = "127.0.0.1:7400";
    /// IP address and port of the listener for other instances; port 0 takes any free port.
    std::string peerListen = "127.0.0.1:7401";
    /// File to which the address of the HTTP listener is written once it accepts calls; empty for none.
    std::string addressFile;

    /// Whether this instance bootstraps the replication group of its failure domain. Set on the command line at the
    /// first start of one instance of the domain, never in a file, so that an instance that lost its disk cannot
    /// bootstrap a second group.
    bool initializeDomain = false;
    /// Whether this instance bootstraps the replication group of the fleet. Set on the command line at the first start
    /// of one instance of the cluster, for the same reason.
    bool initializeFleet = false;

    /// Name of the cluster; connections from instances of another cluster are refused.
    std::string clusterId = "local";
    /// File whose first line is the shared secret with which instances authenticate to each other; empty only for a
    /// single instance.
    std::string secretFile;
    /// All instances of the cluster, this one included; empty for a single instance.
    std::vector<instance_address> instances;

    /// File with bearer tokens, one `token workspace|operator` pair per line; empty for no access control.
    std::string tokenFile;
    /// Whether a listener without access control may bind to an address other than loopback.
    bool allowOpenListener = false;

    /// Maximum size of a request body, in bytes.
    std::size_t maxBodyBytes = std::size_t { 1 } << 20;
    /// Maximum length of the target and of the value of one header field of a request, in bytes.
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    /// Maximum number of open connections of the HTTP listener.
    std::size_t maxConnections = 2'000;
    /// Maximum number of requests that wait for a slot.
    std::size_t maxQueuedRequests = 1'000;

    /// Duration of a worker's lease.
    std::chrono::milliseconds lease { 30'000 };
    /// Interval between renewals of a worker's lease.
    std::chrono::milliseconds leaseRenewal { 10'000 };
    /// Time since its last announcement after which an executor counts as absent.
    std::chrono::milliseconds announcementExpiry { 10'000 };
    /// Heartbeat interval of the replication group of the failure domain.
    std::chrono::milliseconds domainHeartbeat { 300 };
    /// Minimum election timeout of the replication group of the failure domain.
    std::chrono::milliseconds domainElection { 1'000 };
    /// Heartbeat interval of the replication group of the fleet.
    std::chrono::milliseconds fleetHeartbeat { 1'000 };
    /// Minimum election timeout of the replication group of the fleet.
    std::chrono::milliseconds fleetElection { 4'000 };
    /// Time for which new requests are still served after a graceful shutdown has begun, so that the load balancer can
    /// stop sending them.
    std::chrono::milliseconds drainDelay { 2'000 };
    /// Maximum time that a graceful shutdown waits for requests in flight.
    std::chrono::milliseconds drainTimeout { 60'000 };

    /// Minimum severity that is logged.
    log_level logLevel = log_level::Info;
    /// Log file; empty for standard output.
    std::string logFile;
};

} // namespace chervilport
