#pragma once

#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/worker_slot.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A task and the slot where it is placed.
struct placed_task {
    /// Index of the task in its step.
    std::uint32_t index = 0;
    /// Index of the slot.
    std::size_t slot = 0;
};

/// Places the tasks of a step and subtracts their demand from the slots. All tasks of a gang are placed or none; of
/// other steps as many as fit. `allowOffRack` allows racks where the tasks are slow.
std::vector<placed_task> placeStep(worker_slots&, const ready_step&, const std::string& service, bool allowOffRack);

} // namespace chervilport::batch
