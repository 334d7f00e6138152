#pragma once

#include "benchmarks/policy/fifo_scheduler.h"

#include <vector>

namespace chervilport::policy_benchmark {

/// Returns what the gang of a job needs.
gang_demand demandOf(const job_spec&);

/// Starts the waiting jobs that may start now and adds the start commands.
void startWaitingJobs(fifo_state&, log_time now, std::vector<command>&);

} // namespace chervilport::policy_benchmark
