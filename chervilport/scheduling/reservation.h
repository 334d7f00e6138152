#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_id.h"

#include <cstdint>
#include <vector>

namespace chervilport {

/// Places that are kept for a queued job until all of them are free.
struct reservation {
    /// Worker index of each task.
    std::vector<std::int32_t> workers;
    /// When it was made.
    log_time createdAt;
    /// When its places are expected to be free.
    log_time expectedAt;
    /// Whether the present holders were told to stop; nothing may be backfilled then.
    bool reclaiming = false;
    /// Jobs that were started on its places in the meantime and are stopped when nothing else holds them.
    std::vector<job_id> backfilled;
};

} // namespace chervilport
