#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/event.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace chervilport {

/// Orders tasks for use as a key.
struct reported_task_order {
    /// Returns whether the left task comes first.
    bool operator()(const reported_task& left, const reported_task& right) const
    {
        return std::tie(left.job, left.attempt, left.rank) < std::tie(right.job, right.attempt, right.rank);
    }
};

/// What the leader of a domain remembers of a worker between two announcements. It is not replicated.
struct worker_lease {
    /// Incarnation that the lease was granted to.
    std::uint64_t incarnation = 0;
    /// Monotonic time of the last grant.
    log_time grantedAt;
    /// Last committed report about each task in the last announcement, as the number of its state.
    std::map<reported_task, std::uint8_t, reported_task_order> committedReports;
    /// Number of the last announcement seen.
    std::uint64_t sequence = 0;
    /// Whether `worker_lost` was proposed and is not decided yet.
    bool losing = false;
};

} // namespace chervilport
