#pragma once

#include "chervilport/batch/step_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A job as submitted.
struct job_request {
    /// Chosen by the submitter; the idempotency key of the submission.
    std::string id;
    /// Opaque text that is passed to every task of the job.
    std::string spec;
    /// Steps in order.
    std::vector<step_spec> steps;
    /// Number of occurrences; 0 for a job without due times, which runs once as soon as it is accepted.
    std::uint32_t repeatCount = 0;
    /// Due time of the first occurrence, Unix milliseconds.
    std::int64_t firstMs = 0;
    /// Time between the due times of occurrences, in milliseconds.
    std::int64_t intervalMs = 0;
};

/// Returns the number of occurrences of the job.
inline std::uint32_t occurrencesOf(const job_request& job) { return job.repeatCount == 0 ? 1 : job.repeatCount; }

} // namespace chervilport::batch
