#pragma once

#include "chervilport/batch/site_config.h"

#include <string>
#include <vector>

namespace chervilport::batch {

/// Returns the faults of a configuration as messages for the operator; empty when it is valid.
std::vector<std::string> findConfigFaults(const site_config&);

} // namespace chervilport::batch
