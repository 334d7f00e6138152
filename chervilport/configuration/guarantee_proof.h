#pragma once

#include "chervilport/configuration/config_problem.h"
#include "chervilport/configuration/domain_capacity.h"
#include "chervilport/configuration/environment_config.h"

#include <span>
#include <vector>

namespace chervilport {

/// Checks an environment as a whole against the known capacity: all guaranteed shapes of a failure domain have to fit
/// at once, and no team quota may exceed what its workspace can hold. The lines of the problems are 0.
///
/// The shapes are placed greedily, those with the closest placement and then the largest first. Where a placement
/// exists that only a search would find, the document is refused; the scheduler could not rely on it either.
std::vector<config_problem> proveGuarantees(const environment_config&, std::span<const domain_capacity>);

} // namespace chervilport
