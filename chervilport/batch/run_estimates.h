#pragma once

#include "chervilport/batch/job_record.h"

#include <cstdint>
#include <map>
#include <string>

namespace chervilport::batch {

/// Observed run times of a queue's tasks.
struct queue_run_time {
    /// Weighted mean in milliseconds; newer runs weigh more.
    double meanMs = 0;
    /// Number of runs observed.
    std::uint32_t samples = 0;
};

/// Run times by queue. Submitters' estimates can be far off, so they count only until enough runs were seen.
struct run_estimates {
    std::map<std::string, queue_run_time> byQueue;
};

/// Takes the run time of a task that was done.
void recordRunTime(run_estimates&, const std::string& queue, std::int64_t runMs);

/// Returns the expected run time of a task of the step, in milliseconds.
double expectedRunMs(const run_estimates&, const job_record&, const step_spec&);

/// Returns the expected time of the longest chain of steps that begins with this step, in milliseconds.
double expectedChainMs(const run_estimates&, const job_record&, std::uint32_t step);

/// Returns the expected time of the job's longest chain of steps, in milliseconds.
double expectedChainMs(const run_estimates&, const job_record&);

} // namespace chervilport::batch
