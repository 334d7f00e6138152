#pragma once

#include "chervilport/transport/peer_address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Bounds of a site on the behaviour of its workers.
struct worker_bounds {
    /// Longest lease that a worker holds; it shortens a longer one to this. Every grant is as long, so that runs
    /// outlast a short silence of their worker or a change of leader.
    std::chrono::milliseconds maxLease { 10'000 };
    /// Longest time that a worker takes to stop a run.
    std::chrono::milliseconds maxStopTime { 1'000 };
    /// Time for which the members of a gang wait for each other.
    std::chrono::milliseconds gangStartTimeout { 3'000 };
    /// Time within which jobs within a guarantee have started.
    std::chrono::milliseconds reclaimTime { 3'400 };
    /// Factor by which tasks take longer when they run off their preferred rack.
    double offRackSlowdown = 3.0;
};

/// Settings of an instance of a site at its start. The instance discovers all others through the seeds.
struct node_settings {
    /// Name of the instance in logs.
    std::string name;
    /// IPv4 address at which other instances reach this one.
    std::string ip;
    /// IPv4 address to listen on; differs from `ip` when a proxy forwards connections to the instance.
    std::string bindIp;
    /// Port at which other instances reach this one.
    std::uint16_t peerPort = 0;
    /// Failure domain of the instance.
    std::string failureDomain;
    /// Instances of the control group when the settings were written; the list can be out of date.
    std::vector<peer_address> seeds;
    /// Whether the site starts for the first time, so that the first seed bootstraps the control group.
    bool mayBootstrap = false;
    /// Folder of the durable state; empty for an instance without a disk.
    std::string dataFolder;
    /// Number of instances with a disk that can fail at the same time.
    std::size_t faultTolerance = 1;
    /// Time between the stop signal and the forced kill.
    std::chrono::milliseconds stopGrace { 6'000 };
    /// Number of file descriptors that the process may use.
    std::size_t maxDescriptors = 4'096;
    /// Bounds of the workers.
    worker_bounds workers;
};

} // namespace chervilport
