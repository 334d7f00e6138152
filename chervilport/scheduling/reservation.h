#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/job_id.h"

#include <cstdint>
#include <vector>

namespace chervilport {

/// Places reserved for a queued job until all of them are free.
struct reservation {
    /// Worker index of each task.
    std::vector<std::int32_t> workers;
    /// When it was created.
    log_time createdAt;
    /// When its places are expected to be free.
    log_time expectedAt;
    /// Whether the jobs on its places are being stopped; nothing may be backfilled then.
    bool reclaiming = false;
    /// Jobs that were backfilled on its places; they are stopped once no other job holds the places.
    std::vector<job_id> backfilled;
};

} // namespace chervilport
