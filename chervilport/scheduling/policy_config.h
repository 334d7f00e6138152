#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>

namespace chervilport {

/// Parameters of the scheduling policy, from the accepted configuration.
struct policy_config {
    /// Weight between completion time (0) and low fragmentation (1000), in thousandths.
    std::int32_t fragmentationWeight = 300;
    /// Longest time from a start command to the confirmation of all tasks of an attempt.
    log_duration startTimeout { std::chrono::seconds(30) };
    /// Longest time from a stop command to its confirmation before the task is killed.
    log_duration stopTimeout { std::chrono::seconds(2) };
    /// Longest time that a checkpoint may take where its capacity is not needed for an urgent job; then the task is
    /// killed.
    log_duration checkpointTimeout { std::chrono::seconds(10) };
    /// Number of failed attempts attributed to the job after which the job fails.
    std::int32_t maxAttempts = 3;

    friend bool operator==(const policy_config&, const policy_config&) = default;
};

} // namespace chervilport
