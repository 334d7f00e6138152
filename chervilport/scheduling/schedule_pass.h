#pragma once

#include "chervilport/scheduling/command.h"

#include <vector>

namespace chervilport {

struct schedule_state;

/// Offers the present capacity to the queued jobs: starts what fits, makes room for what is guaranteed, reserves places
/// for what must not starve, and probes workers in quarantine.
void schedulePass(schedule_state&, std::vector<command>&);

} // namespace chervilport
