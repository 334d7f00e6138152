#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_state.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <vector>

namespace chervilport::policy_benchmark {

/// Thrown if a scheduler breaks a rule that must hold at all times.
class rule_violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Outcome of a job of a stream.
struct job_record {
    /// Whether the scheduler refused it at submission.
    bool isRefused = false;
    /// Last state that the scheduler reported.
    job_state state = job_state::Queued;
    /// Number of attempts.
    std::int32_t attempts = 0;
    /// Time at which all tasks of an attempt ran for the first time.
    std::optional<log_time> firstStartAt;
    /// Time at which its gang completed.
    std::optional<log_time> completedAt;
    /// Time at which the scheduler reported a final state or refused it.
    std::optional<log_time> closedAt;
    /// Whether at submission all open jobs of its workspace together, itself included, were within the guarantee.
    bool isWithinGuarantee = false;
};

/// Sums of accelerators over samples at a fixed interval of virtual time.
struct fragmentation_sums {
    /// Free accelerators.
    std::int64_t free = 0;
    /// Free accelerators that gangs of the largest guaranteed shape cannot use.
    std::int64_t unusable = 0;
    /// Free accelerators of the samples in which at least one such gang fits by count.
    std::int64_t freeWhereOneFits = 0;
    /// Accelerators of the gangs of that shape that fit by count but cannot be placed.
    std::int64_t avoidable = 0;
    /// Free accelerators, at most as many as the largest gang has.
    std::int64_t freeUpToLargestGang = 0;
    /// Accelerators of the largest gang that can be placed.
    std::int64_t largestGang = 0;
};

/// Work in accelerator milliseconds.
struct work_sums {
    /// Work of completed jobs.
    std::int64_t useful = 0;
    /// Work lost because the scheduler stopped an attempt.
    std::int64_t lostByPreemption = 0;
    /// Work lost because the scheduler ended a running job as expired.
    std::int64_t lostByExpiry = 0;
    /// Work lost because of a fault.
    std::int64_t lostByFault = 0;
    /// Work of cancelled jobs.
    std::int64_t lostByCancel = 0;
};

/// Cost of the decisions.
struct decision_cost {
    /// Number of events applied.
    std::int64_t decisions = 0;
    /// Processor time of all of them.
    std::int64_t totalNs = 0;
    /// Longest processor time of one.
    std::int64_t slowestNs = 0;
    /// Longest elapsed time of one; includes interruptions by other threads of the machine.
    std::int64_t slowestElapsedNs = 0;
    /// Variant index of the event that took the longest processor time.
    std::size_t slowestEvent = 0;
    /// Largest encoded state, in bytes.
    std::int64_t peakStateBytes = 0;
};

/// Result of replaying a stream against a scheduler.
struct run_record {
    /// Jobs in the order of the stream.
    std::vector<job_record> jobs;
    /// Fragmentation during the period of submissions.
    fragmentation_sums fragmentation;
    /// Useful and lost work.
    work_sums work;
    /// Cost of the decisions.
    decision_cost cost;
    /// Attempts stopped by the scheduler without a fault or a cancellation.
    std::int64_t preemptions = 0;
    /// Virtual time at the end.
    log_time endedAt;
};

} // namespace chervilport::policy_benchmark
