#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/worker_slot.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace chervilport::batch {

/// An active run that may be preempted.
struct preemption_victim {
    run_ref run;
    worker_number worker = noWorker;
    /// Capacity that becomes free when it ends.
    resource_demand releasedCapacity;
    /// Work that would be lost, in core-seconds, with an accelerator counted as eight cores; weighted higher for urgent
    /// jobs.
    double lostWork = 0;
    /// Whether its end also ends the other runs of its step.
    bool isGangMember = false;
    /// Whether it is already being stopped.
    bool isStopping = false;
    /// Whether it is a filler run: see `isFiller`.
    bool isFiller = false;
};

/// Runs that may be stopped for a step.
enum class victim_scope : std::uint8_t {
    /// All runs in the list.
    All,
    /// Filler runs, and runs that stop anyway.
    Fillers,
};

/// Worker chosen for a task, and the runs to stop there.
struct preemption_choice {
    std::size_t slot = 0;
    std::vector<run_ref> victims;
};

/// Returns whether the runs of a step are fillers: single tasks below the highest priority. The stop of one loses
/// little work and ends no other run, so they may use workers that are reserved for urgent jobs until these need them.
bool isFiller(const job_record&, const step_spec&);

/// Lists the active runs of all jobs except those in `guaranteed`. Runs in `stopping`, and runs of ended jobs, are
/// marked as stopping.
std::vector<preemption_victim> listVictims(
    const batch_state&, const std::set<std::string>& guaranteed, const std::set<run_ref>& stopping, std::int64_t nowMs);

/// Chooses for each task of the step the worker where the least work is lost, and the runs to stop there. A step that
/// is fast in one rack only is placed in that rack; `allowOffRack` allows other racks when that fails. The chosen
/// capacity and victims are removed from the arguments. Returns an empty list when not all tasks of the step can be
/// placed.
std::vector<preemption_choice> choosePreemptions(worker_slots&, std::vector<preemption_victim>&, const ready_step&,
    const std::string& service, bool allowOffRack, victim_scope = victim_scope::All);

} // namespace chervilport::batch
