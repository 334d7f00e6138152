#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/event.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace chervilport {

/// Orders tasks by job, attempt and rank, for use as a key.
struct task_id_order {
    /// Returns whether the left task comes first.
    bool operator()(const task_id& left, const task_id& right) const
    {
        return std::tie(left.job, left.attempt, left.rank) < std::tie(right.job, right.attempt, right.rank);
    }
};

/// State that the leader of a domain keeps for a worker between two announcements. It is not replicated.
struct worker_lease {
    /// Incarnation that the lease was granted to.
    std::uint64_t incarnation = 0;
    /// Monotonic time of the last grant.
    log_time grantedAt;
    /// Last committed state of each task in the last announcement, as the number of its announced_task_state.
    std::map<task_id, std::uint8_t, task_id_order> committedReports;
    /// Number of the last full announcement that was acknowledged.
    std::uint64_t sequence = 0;
    /// Whether `worker_lost` was proposed and is not decided yet.
    bool lossProposed = false;
};

} // namespace chervilport
