#pragma once

#include <cstdint>

namespace chervilport {

/// Where a job stands in its life.
enum class job_state : std::uint8_t {
    /// Accepted and waiting for capacity.
    Queued,
    /// Placed; start commands are out and not all tasks have confirmed.
    Starting,
    /// All tasks of the attempt confirmed that they run.
    Running,
    /// The attempt is being stopped; its capacity is not free yet.
    Stopping,
    /// Ended well; final.
    Succeeded,
    /// Ended in failure after its last attempt; final.
    Failed,
    /// Cancelled by the caller; final.
    Cancelled,
    /// Can no longer end in time to be useful and was not run to its end; final.
    Expired,
    /// Can never run on the present fleet or configuration; final.
    Infeasible,
};

} // namespace chervilport
