#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilport::batch {

/// A worker as a scheduling pass sees it.
struct worker_slot {
    /// The worker; valid as long as the state is not changed.
    const worker_record* worker = nullptr;
    /// Room that is left, less what the pass has given away.
    resource_demand free;
    /// Room that runs which were told to stop will give back; not to be used before they have ended.
    resource_demand releasing;
    /// Whether runs may be started there.
    bool usable = false;
    /// Likelihood that runs fail there, in thousandths; lower is better.
    std::int32_t failureWeight = 0;
    /// Whether only jobs of the highest priority may be placed here.
    bool reservedForUrgent = false;
    /// Job that the worker is kept for until its victims have stopped; empty for none.
    std::string reservedFor;
};

/// All workers of a pass.
using worker_slots = std::vector<worker_slot>;

/// Whether a step may run on a worker at all, whatever room it has left.
bool isEligible(const worker_slot&, const ready_step&, const std::string& service);

/// Number of active runs of the step by worker.
std::map<worker_number, std::uint32_t> countRuns(const ready_step&);

/// A task and where it goes.
struct placed_task {
    std::uint32_t index = 0;
    std::size_t slot = 0;
};

/// Finds places for the tasks of a step and takes the room from the slots. A gang gets all its places or none; other
/// steps get as many as fit. `allowOffRack` lets tasks go to racks where they are slow.
std::vector<placed_task> placeStep(worker_slots&, const ready_step&, const std::string& service, bool allowOffRack);

} // namespace chervilport::batch
