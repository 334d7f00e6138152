#pragma once

#include "chervilport/batch/job_record.h"

#include <cstdint>
#include <map>
#include <string>

namespace chervilport::batch {

/// Observed run times of a queue's tasks.
struct queue_run_time {
    /// Moving average in milliseconds; newer runs have more weight.
    double meanMs = 0;
    /// Number of runs observed.
    std::uint32_t samples = 0;
};

/// Run times by queue. Estimates of submitters can be far off, so they are used only until enough runs were observed.
struct run_estimates {
    std::map<std::string, queue_run_time> byQueue;
};

/// Adds the run time of a task that is done, in milliseconds.
void recordRunTime(run_estimates&, const std::string& queue, std::int64_t runMs);

/// Returns whether enough runs of the queue were observed, so that their mean replaces the estimates of submitters.
bool isLearnt(const run_estimates&, const std::string& queue);

/// Returns the expected run time of a task of the step, in milliseconds.
double expectedRunMs(const run_estimates&, const job_record&, const step_spec&);

/// Returns the expected time of the longest chain of steps that starts with this step, in milliseconds.
double expectedChainMs(const run_estimates&, const job_record&, std::uint32_t step);

/// Returns the expected time of the longest chain of steps of the job, in milliseconds.
double expectedChainMs(const run_estimates&, const job_record&);

} // namespace chervilport::batch
