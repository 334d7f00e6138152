#pragma once

#include "benchmarks/policy/fifo_scheduler.h"

#include <vector>

namespace chervilport::policy_benchmark {

/// Returns the demand of the gang of a job.
gang_demand demandOf(const job_spec&);

/// Starts the waiting jobs that may start at the given time and appends the commands.
void startWaitingJobs(fifo_state&, log_time now, std::vector<command>&);

} // namespace chervilport::policy_benchmark
