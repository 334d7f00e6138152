#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/core/log_time.h"

#include <vector>

namespace chervilport {

namespace batch {
    struct batch_state;
    struct worker_speeds;
} // namespace batch

/// Proposes observed speeds of workers for the log at a bounded rate.
struct speed_recorder {
    /// Time of the next proposals.
    log_time nextAt;
};

/// Returns the speeds that the leader proposes now, see `batch::speedsToRecord`: a bounded number in each interval.
std::vector<batch::worker_speed_observed> takeSpeedsToRecord(
    speed_recorder&, const batch::worker_speeds&, const batch::batch_state&, log_time now);

} // namespace chervilport
