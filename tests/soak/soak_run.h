#pragma once

#include "tests/soak/soak_options.h"

#include <string>
#include <vector>

namespace chervilport::soak {

/// Runs one soak with the given seed instead of the one in the options, and returns the violations.
std::vector<std::string> runSoak(const soak_options&, std::uint64_t seed);

} // namespace chervilport::soak
