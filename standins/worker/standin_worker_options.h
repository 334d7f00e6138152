#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Options of a stand-in worker.
struct standin_worker_options {
    /// Addresses of instances as IP and port. The worker announces itself to one of them, and to the next one after a
    /// failure.
    std::vector<std::string> instances;
    /// Failure domain of the worker.
    std::string failureDomain = "local";
    /// Name of the rack.
    std::string rack = "rack-0";
    /// Position of the rack.
    int rackPosition = 0;
    /// Number of accelerators.
    int accelerators = 8;
    /// Number of processor cores.
    int cores = 60;
    /// Memory in mebibytes.
    std::int64_t memoryMb = 262'144;
    /// Whether every task fails shortly after its start.
    bool failsAllTasks = false;
};

} // namespace chervilport
