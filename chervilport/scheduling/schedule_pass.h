#pragma once

#include "chervilport/scheduling/command.h"

#include <vector>

namespace chervilport {

struct schedule_state;

/// Assigns capacity to the queued jobs: starts the jobs that fit, preempts other jobs for guaranteed ones, reserves
/// places to prevent starvation, and probes workers in quarantine.
void schedulePass(schedule_state&, std::vector<command>&);

} // namespace chervilport
