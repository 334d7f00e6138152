#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chervilport::soak {

/// What the command line gives.
struct soak_options {
    /// Seed of the first run.
    std::uint64_t seed = 1;
    /// Runs, each with the next seed.
    std::size_t runs = 1;
    /// File of seeds that have failed once, which are played instead; empty for none.
    std::string seedFile;
    /// Time of traffic with faults.
    std::chrono::seconds length { 30 };
    /// Time for everything to end after the last fault.
    std::chrono::seconds settle { 60 };
    /// Executors.
    std::size_t executors = 6;
    /// Program under test.
    std::string program;
    /// Folder for settings, disks and logs; a temporary one when empty. It is kept after a broken promise.
    std::string folder;
};

/// Reads the command line; prints the help and ends the process when it asks for it or is wrong.
soak_options readSoakOptions(int argc, char** argv);

} // namespace chervilport::soak
