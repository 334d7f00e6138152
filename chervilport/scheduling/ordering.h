#pragma once

#include "chervilport/scheduling/job_id.h"

#include <vector>

namespace chervilport {

struct schedule_state;

/// Returns the queued jobs in the order in which a scheduling pass considers them.
std::vector<job_id> queueOrder(const schedule_state&);

} // namespace chervilport
