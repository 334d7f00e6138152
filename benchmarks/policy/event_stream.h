#pragma once

#include "benchmarks/policy/profile.h"
#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_spec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport::policy_benchmark {

/// A job of a stream, including the properties that are hidden from the scheduler.
struct stream_job {
    /// Specification that is submitted.
    job_spec spec;
    /// Category for the measurements.
    job_category category = job_category::Small;
    /// Time of its submission.
    log_time submittedAt;
    /// Time for which all tasks of the gang have to run together.
    log_duration trueRunTime { 0 };
    /// Time that a checkpoint takes.
    log_duration checkpointTime { 0 };
    /// Time at which its caller cancels it unless it has ended; empty if it is never cancelled.
    std::optional<log_time> cancelAt;
    /// Whether it can run at all; false for impossible sizes and for jobs that fail on every worker.
    bool canRun = true;
    /// Whether each of its tasks fails shortly after its start.
    bool alwaysFails = false;

    friend bool operator==(const stream_job&, const stream_job&) = default;
};

/// A worker of a stream.
struct stream_worker {
    /// Name.
    std::string name;
    /// Position of its rack.
    std::int32_t rackPosition = 0;

    friend bool operator==(const stream_worker&, const stream_worker&) = default;
};

/// Kinds of worker faults.
enum class fault_kind : std::uint8_t {
    /// The workers stop and rejoin with a new incarnation.
    Down,
    /// The workers fail every task that they start.
    FailsStarts,
};

/// A fault of a set of workers over a period.
struct stream_fault {
    /// Kind of the fault.
    fault_kind kind = fault_kind::Down;
    /// Indices of the workers.
    std::vector<std::size_t> workers;
    /// Start of the fault.
    log_time from;
    /// End of the fault.
    log_time until;

    friend bool operator==(const stream_fault&, const stream_fault&) = default;
};

/// Workload and faults of a run; every scheduler under test gets the same.
struct event_stream {
    /// Profile of the site.
    profile site;
    /// Offered work over capacity, in thousandths.
    std::int32_t loadPermille = 0;
    /// Seed that it was generated from.
    std::uint64_t seed = 0;
    /// Workers.
    std::vector<stream_worker> workers;
    /// Jobs in order of submission.
    std::vector<stream_job> jobs;
    /// Faults in order of their start.
    std::vector<stream_fault> faults;
    /// End of the period in which jobs are submitted.
    log_time endOfSubmissions;
};

/// Returns the number of accelerators of all tasks of a job together.
std::int64_t acceleratorsOf(const job_spec&);

/// Returns whether the completion of a job is measured: it can run and its caller does not cancel it.
bool isMeasured(const stream_job&);

} // namespace chervilport::policy_benchmark
