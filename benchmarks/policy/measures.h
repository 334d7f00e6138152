#pragma once

#include "benchmarks/policy/event_stream.h"
#include "benchmarks/policy/run_record.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::policy_benchmark {

/// Measurements of the jobs of one category, or of all.
struct job_measures {
    /// Number of jobs measured.
    std::int64_t jobs = 0;
    /// Jobs that did not complete.
    std::int64_t notCompleted = 0;
    /// Mean, median and upper percentiles of the completion time in seconds.
    double meanS = 0;
    double p50S = 0;
    double p95S = 0;
    double p99S = 0;
    /// Mean and 95th percentile of the completion time over the run time.
    double meanSlowdown = 0;
    double p95Slowdown = 0;
    /// Jobs with a deadline and those of them that met it.
    std::int64_t deadlines = 0;
    std::int64_t deadlineHits = 0;
};

/// Measurements of one run of one scheduler.
struct run_measures {
    /// All measured jobs.
    job_measures all;
    /// Measured jobs by category.
    std::array<job_measures, categoryCount> byCategory;
    /// Mean completion time of the jobs that every scheduler completed, in seconds.
    double meanCommonS = 0;
    /// Mean completion time if jobs that did not complete count up to the end of the run, in seconds.
    double meanToEndS = 0;
    /// Mean and 95th percentile of completion time minus run time of gangs of 32 tasks and more, in seconds.
    double meanLargeGangWaitS = 0;
    double p95LargeGangWaitS = 0;
    /// The same percentile over the gangs that this scheduler completed, in seconds.
    double p95CompletedGangWaitS = 0;
    /// Time from submission to the first start of these gangs, in seconds.
    double p95LargeGangFirstStartS = 0;
    /// 95th percentile of the time to the first start of jobs within the guarantee of their workspace, in seconds.
    double guaranteedStartP95S = 0;
    /// 99th percentile of the time to the first start of urgent jobs, all and those within the guarantee, in seconds.
    double urgentStartP99S = 0;
    double guaranteedUrgentStartP99S = 0;
    /// Share of the free accelerators that belongs to gangs of the largest guaranteed shape that fit by count but
    /// cannot be placed.
    double fragmentation = 0;
    /// Share of the free accelerators that gangs of the largest guaranteed shape cannot use.
    double unusableFreeShare = 0;
    /// 1 minus the largest gang that can be placed over the free accelerators, both limited to a gang of 64 tasks.
    double largestGangFragmentation = 0;
    /// Mean completion time over the lower bound.
    double lowerBoundRatio = 0;
    /// Lower bound of the mean completion time in seconds.
    double lowerBoundS = 0;
    /// Jobs that were refused or failed although they can run, and jobs that ended as expired.
    std::int64_t wronglyRejected = 0;
    std::int64_t expired = 0;
    /// Jobs that were still open at the end.
    std::int64_t open = 0;
};

/// Computes the measurements of all runs of one stream, in the order of the records. A job that a scheduler did not
/// complete counts with the longest completion time that any scheduler needed for it, and at least with the time until
/// it was closed plus its run time; so a job that does not complete never improves the mean over the baselines.
std::vector<run_measures> measureRuns(const event_stream&, const std::vector<const run_record*>&);

} // namespace chervilport::policy_benchmark
