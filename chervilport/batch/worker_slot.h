#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::batch {

/// A worker and its capacity during a scheduling pass.
struct worker_slot {
    /// The worker; valid until the state changes.
    const worker_record* worker = nullptr;
    /// Number of its rack, from 0, in the order of the names of all racks.
    std::uint32_t rackNumber = 0;
    /// Free capacity, less the tasks that this pass has placed; negative when they wait for preempted runs to end.
    resource_demand free;
    /// Capacity of runs that this pass stops; it cannot be used before they have ended.
    resource_demand releasing;
    /// Whether runs may be started there.
    bool isUsable = false;
    /// Likelihood that runs fail there, in thousandths; lower is better.
    std::int32_t failureWeight = 0;
    /// Whether only jobs of the highest priority may be placed here.
    bool reservedForUrgent = false;
    /// Job that the worker is reserved for; empty for none.
    std::string reservedFor;
    /// Job whose suspect tasks are tried there; empty for none.
    std::string isolatedFor;
    /// Whether a worker crashed at the address of this one lately.
    bool hasCrashedLately = false;
    /// Speed class of the worker, see `speedClasses`; 0 is typical, higher is slower.
    std::int32_t speedClass = 0;
    /// Whether the speed was observed.
    bool isSpeedKnown = false;
    /// Number of active runs and of tasks that this pass has placed.
    std::uint32_t runs = 0;
    /// Tasks that this pass has placed there and that have a limit per worker.
    std::vector<task_ref> limitedTasks;
};

/// All workers of a pass.
using worker_slots = std::vector<worker_slot>;

/// Returns the number of racks of the slots.
std::uint32_t countRacks(const worker_slots&);

/// Sets the rack numbers of the slots.
void numberRacks(worker_slots&);

/// Returns the slot of a worker, or null; the slots are in the order of worker numbers.
const worker_slot* findSlot(const worker_slots&, worker_number);

/// Returns the slot of a worker, or null; the slots are in the order of worker numbers.
worker_slot* findSlot(worker_slots&, worker_number);

/// Returns whether the worker is reserved for another job than that of the step, or may not be shared with it.
bool isReservedForOther(const worker_slot&, const ready_step&);

/// Returns whether a worker belongs to the service and has the label that the step requires.
bool isSuitable(const worker_report&, std::string_view service, const step_spec&);

/// Returns whether a step may run on a worker, regardless of its free capacity and of reservations for single jobs.
bool isEligible(const worker_slot&, const ready_step&, const std::string& service);

} // namespace chervilport::batch
