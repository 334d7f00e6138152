#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Global options of the command line, common to all subcommands.
struct client_options {
    /// Addresses of instances as IP and port, tried in order until one is reachable.
    std::vector<std::string> instances;
    /// Bearer token; empty for none.
    std::string token;
    /// Timeout of each call, in milliseconds.
    std::int64_t timeoutMs = 10'000;
    /// Whether responses are printed as JSON instead of tables.
    bool printsJson = false;
};

} // namespace chervilport
