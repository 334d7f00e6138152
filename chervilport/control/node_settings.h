#pragma once

#include "chervilport/transport/peer_address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Bounds that a site sets for the control of its workers.
struct worker_bounds {
    /// Longest lease that a worker holds.
    std::chrono::milliseconds maxLease { 10'000 };
    /// Longest time that a worker takes to stop a run.
    std::chrono::milliseconds maxStopTime { 1'000 };
    /// Time for which the members of a gang wait for each other.
    std::chrono::milliseconds gangStartTimeout { 3'000 };
    /// Time within which guaranteed jobs have begun.
    std::chrono::milliseconds reclaimTime { 3'400 };
    /// Tasks take this many times as long away from the rack where they are fast.
    double offRackSlowdown = 3.0;
};

/// What an instance of a site is told at its start. It learns of all others through the seeds.
struct node_settings {
    /// Name in logs.
    std::string name;
    /// IPv4 address for other instances.
    std::string ip;
    /// IPv4 address to listen on; it differs from `ip` where a forwarder stands before the instance.
    std::string bindIp;
    /// Port for other instances.
    std::uint16_t peerPort = 0;
    /// Failure domain.
    std::string failureDomain;
    /// Instances of the control group that were known when the settings were written; they can be out of date.
    std::vector<peer_address> seeds;
    /// Whether the site starts for the first time, so that the first seed begins the control group.
    bool mayBootstrap = false;
    /// Folder of the durable state; empty for an instance without a disk.
    std::string dataFolder;
    /// Number of instances with a disk that can be lost at once.
    std::size_t faultTolerance = 1;
    /// Time between a request to stop and a forced end.
    std::chrono::milliseconds stopGrace { 6'000 };
    /// Bounds of the workers.
    worker_bounds workers;
};

} // namespace chervilport
