#pragma once

#include <cstdint>
#include <string>

namespace review {

/// Result of a case; the value is the exit code.
enum class verdict : std::uint8_t {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// Each plays one case with its files in a temporary folder, writes the record, and returns whether the rule held.
verdict runCase6(const std::string& folder, const std::string& recordFile, bool isTroubled);
verdict runCase7(const std::string& folder, const std::string& recordFile, bool isTroubled);
verdict runCase8(const std::string& folder, const std::string& recordFile, bool isTroubled);
verdict runCase9(const std::string& folder, const std::string& recordFile, bool isTroubled);

} // namespace review
