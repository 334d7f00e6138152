#pragma once

#include "tests/soak/soak_options.h"

#include <string>
#include <vector>

namespace chervilport::soak {

/// Plays one soak with the seed of the options and returns the broken promises.
std::vector<std::string> runSoak(const soak_options&, std::uint64_t seed);

} // namespace chervilport::soak
