#pragma once

#include "benchmarks/policy/profile.h"
#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_spec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport::policy_benchmark {

/// A job of a stream with what the scheduler does not know about it.
struct stream_job {
    /// What is submitted.
    job_spec spec;
    /// Category for the measurements.
    job_category category = job_category::Small;
    /// When it is submitted.
    log_time submittedAt;
    /// How long the whole gang has to run together.
    log_duration trueRunTime { 0 };
    /// How long a checkpoint takes.
    log_duration checkpointTime { 0 };
    /// When its caller cancels it, if it is not over by then.
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

/// What goes wrong with workers.
enum class fault_kind : std::uint8_t {
    /// The workers stop and come back under a new incarnation.
    Down,
    /// The workers fail every task that they start.
    FailsStarts,
};

/// A fault of some workers for some time.
struct stream_fault {
    /// What goes wrong.
    fault_kind kind = fault_kind::Down;
    /// Indices of the workers.
    std::vector<std::size_t> workers;
    /// Begin.
    log_time from;
    /// End.
    log_time until;

    friend bool operator==(const stream_fault&, const stream_fault&) = default;
};

/// Everything that happens around the scheduler, the same for every scheduler under test.
struct event_stream {
    /// The site.
    profile site;
    /// Offered work over capacity, in thousandths.
    std::int32_t loadPermille = 0;
    /// Seed that it was generated from.
    std::uint64_t seed = 0;
    /// Workers.
    std::vector<stream_worker> workers;
    /// Jobs in order of submission.
    std::vector<stream_job> jobs;
    /// Faults in order of their begin.
    std::vector<stream_fault> faults;
    /// End of the period in which jobs are submitted.
    log_time endOfSubmissions;
};

/// Returns the accelerators that all tasks of a job hold together.
std::int64_t acceleratorsOf(const job_spec&);

/// Returns whether the completion of a job is measured: it can run and its caller does not cancel it.
bool isMeasured(const stream_job&);

} // namespace chervilport::policy_benchmark
