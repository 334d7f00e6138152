#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/worker_slot.h"

#include <set>
#include <string>
#include <vector>

namespace chervilport::batch {

/// An active run that can be stopped for others.
struct preemption_victim {
    run_ref run;
    worker_number worker = noWorker;
    /// Room that its end gives back.
    resource_demand releasedCapacity;
    /// Work that would be lost, in core-seconds with an accelerator counted as eight cores; more for urgent jobs.
    double lostWork = 0;
    /// Whether its end ends the other runs of its step too.
    bool gang = false;
    /// Whether it has been told to stop already.
    bool stopping = false;
};

/// Worker whose victims have to stop for a task.
struct preemption_choice {
    std::size_t slot = 0;
    std::vector<run_ref> victims;
};

/// Lists the active runs of jobs that no guarantee covers.
std::vector<preemption_victim> listVictims(
    const batch_state&, const std::set<std::string>& guaranteed, const std::set<run_ref>& stopping, std::int64_t nowMs);

/// Chooses for each task of the step the worker where the least work is lost, and which runs have to stop there. A step
/// that is fast in one rack only gets its places there; `allowOffRack` takes other racks when that fails. Room and
/// victims that were chosen are taken out of the arguments. Empty when not all tasks of a step can be placed so.
std::vector<preemption_choice> choosePreemptions(
    worker_slots&, std::vector<preemption_victim>&, const ready_step&, const std::string& service, bool allowOffRack);

} // namespace chervilport::batch
