#pragma once

#include "chervilport/configuration/config_problem.h"
#include "chervilport/configuration/domain_capacity.h"
#include "chervilport/configuration/environment_config.h"

#include <span>
#include <vector>

namespace chervilport {

/// Checks an environment against the known capacity: all guaranteed shapes of a failure domain must fit at the same
/// time, and no team quota may exceed the guarantee plus the borrowing limit of its workspace. The lines of the
/// problems are 0. A failure domain without known capacity has no workers.
///
/// Places the shapes greedily: closest placement first, then largest size. Refuses a document whose placement only a
/// search would find, because the scheduler could not rely on finding it either.
std::vector<config_problem> proveGuarantees(const environment_config&, std::span<const domain_capacity>);

} // namespace chervilport
