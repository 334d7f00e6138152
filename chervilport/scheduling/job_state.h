#pragma once

#include <cstdint>

namespace chervilport {

/// State of a job.
enum class job_state : std::uint8_t {
    /// Accepted and waiting for capacity.
    Queued,
    /// Placed; start commands were issued and not all are confirmed.
    Starting,
    /// All tasks of the attempt confirmed that they run.
    Running,
    /// The attempt is being stopped; its capacity is not free yet.
    Stopping,
    /// All tasks succeeded; final.
    Succeeded,
    /// Ended in failure after its last attempt; final.
    Failed,
    /// Cancelled by the caller; final.
    Cancelled,
    /// Did not end, or could no longer end, before its deadline; final.
    Expired,
    /// Can never run on the current fleet or configuration; final.
    Infeasible,
};

} // namespace chervilport
