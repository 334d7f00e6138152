#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/delay_cost.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/run_estimates.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/worker_slot.h"

#include <cstdint>
#include <map>
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
    /// Expected loss of value if it is stopped: that of its caller, whose result comes later, and that of the callers
    /// who wait for the room of the work that is thrown away.
    double lostValue = 0;
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

/// What the loss of a stopped run is computed from.
struct preemption_prices {
    /// Mean time that a stopped run waits before it starts again, in milliseconds.
    double meanWaitMs = 0;
    /// Value of a core-second to the steps that wait for room.
    double valuePerCoreSecond = 1;
};

/// Lists the active runs of all jobs except those in `guaranteed`. Runs in `stopping`, and runs of ended jobs, are
/// marked as stopping.
std::vector<preemption_victim> listVictims(const batch_state&, const run_estimates&, const preemption_prices&,
    const std::set<std::string>& guaranteed, const std::set<run_ref>& stopping, std::int64_t nowMs);

/// Expected loss of value of a step by the speed class of the slowest worker that runs its tasks.
using slow_worker_loss = std::map<std::int32_t, double>;

/// Returns the loss of a step that starts now on workers of each speed class of the slots, in comparison with a typical
/// or faster worker.
slow_worker_loss lossOnSlowWorkers(const worker_slots&, const delay_cost&, double ageMs);

/// Chooses for each task of the step the worker where the least value is lost, and the runs to stop there. A step that
/// is fast in one rack only is placed in that rack; `allowOffRack` allows other racks when that fails. The chosen
/// capacity and victims are removed from the arguments. Returns an empty list when not all tasks of the step can be
/// placed.
std::vector<preemption_choice> choosePreemptions(worker_slots&, std::vector<preemption_victim>&, const ready_step&,
    const slow_worker_loss&, const std::string& service, bool allowOffRack, victim_scope = victim_scope::All);

} // namespace chervilport::batch
