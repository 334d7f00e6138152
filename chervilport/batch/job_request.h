#pragma once

#include "chervilport/batch/step_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A job as its submitter describes it.
struct job_request {
    /// Chosen by the submitter; the idempotency key of the submission.
    std::string id;
    /// Opaque text that every task of the job is started with.
    std::string spec;
    /// Steps in order.
    std::vector<step_spec> steps;
    /// Number of times that the steps run; 0 for a job that runs once at once.
    std::uint32_t repeatCount = 0;
    /// Due time of the first occurrence, Unix milliseconds.
    std::int64_t firstMs = 0;
    /// Milliseconds between occurrences.
    std::int64_t intervalMs = 0;
};

/// Returns how many occurrences the job has.
inline std::uint32_t occurrencesOf(const job_request& job) { return job.repeatCount == 0 ? 1 : job.repeatCount; }

} // namespace chervilport::batch
