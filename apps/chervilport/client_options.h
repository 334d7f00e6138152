#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// What the command line gives besides the subcommand's own arguments.
struct client_options {
    /// Addresses of instances as IP and port; the next one is tried when one cannot be reached.
    std::vector<std::string> instances;
    /// Bearer token; empty for none.
    std::string token;
    /// Time for the whole call, in milliseconds.
    std::int64_t timeoutMs = 10'000;
    /// Whether answers are printed as JSON instead of tables.
    bool json = false;
};

} // namespace chervilport
