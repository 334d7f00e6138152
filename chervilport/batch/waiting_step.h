#pragma once

#include "chervilport/batch/latency_objective.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace chervilport::batch {

/// A ready step for which a pass had no room.
struct waiting_step {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    /// Number of its tasks that wait.
    std::size_t tasks = 0;
    /// Time since the job was due, in milliseconds.
    std::int64_t ageMs = 0;
    /// Whether its job can still end in time.
    objective_status status = objective_status::OnTime;
    /// Number of steps of the same service that wait and come first in the order of the pass.
    std::size_t ahead = 0;
    /// Job of the first of them; empty for none.
    std::string firstAhead;
};

} // namespace chervilport::batch
