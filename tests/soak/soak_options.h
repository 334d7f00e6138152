#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chervilport::soak {

/// Options of the command line.
struct soak_options {
    /// Seed of the first run.
    std::uint64_t seed = 1;
    /// Number of runs; each uses the next seed.
    std::size_t runs = 1;
    /// File of seeds that failed before, which replaces `seed`, `runs` and `length`; empty for none.
    std::string seedFile;
    /// Duration of the traffic with faults.
    std::chrono::seconds length { 30 };
    /// Longest time for faults and jobs to end after the traffic.
    std::chrono::seconds drainTimeout { 60 };
    /// Number of executors.
    std::size_t executors = 6;
    /// Path of the program under test.
    std::string program;
    /// Folder for settings, disks and logs; empty for a temporary folder, which is removed when no invariant was
    /// violated.
    std::string folder;
};

/// Parses the command line. Prints the help and exits with 0 after `--help`, with 2 when an option is invalid.
soak_options readSoakOptions(int argc, char** argv);

} // namespace chervilport::soak
