#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// How a stand-in worker presents itself.
struct standin_worker_options {
    /// Addresses of instances; the worker announces itself to one of them and goes to the next after a failure.
    std::vector<std::string> instances;
    /// Failure domain.
    std::string failureDomain = "local";
    /// Rack.
    std::string rack = "rack-0";
    /// Position of the rack.
    int rackPosition = 0;
    /// Accelerators.
    int accelerators = 8;
    /// Cores.
    int cores = 60;
    /// Memory in mebibytes.
    std::int64_t memoryMb = 262'144;
    /// Whether every task fails at once.
    bool failsAllTasks = false;
};

} // namespace chervilport
