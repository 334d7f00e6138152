#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_estimates.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/urgent_reservation.h"
#include "chervilport/batch/waiting_step.h"
#include "chervilport/batch/worker_speeds.h"
#include "chervilport/batch/workspace_share.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilport::batch {

/// State of a worker that is local to the leader.
struct worker_condition {
    /// Whether runs may be started there: it responded in this term and is healthy. A pass also excludes workers whose
    /// report says that they drain.
    bool isUsable = false;
    /// Likelihood that runs fail there, in thousandths.
    std::int32_t failureWeight = 0;
};

/// Reservation of a worker for a job while other runs stop there.
struct worker_reservation {
    std::string job;
    /// Time at which the reservation expires, Unix milliseconds.
    std::int64_t expiresMs = 0;
};

/// State that the leader keeps between passes. It is not replicated; a new leader starts with an empty one.
struct scheduler_state {
    /// Runs that are being stopped.
    std::set<run_ref> stopping;
    /// Reservations by worker.
    std::map<worker_number, worker_reservation> reservations;
    /// Observed run times.
    run_estimates estimates;
    /// Observed speeds of workers.
    worker_speeds speeds;
    /// Recent demand of urgent work by service.
    std::map<std::string, urgent_demand_window> urgentDemand;
    /// Recent use by workspace.
    workspace_use use;
};

/// A run that is preempted for a job.
struct preempted_run {
    run_ref run;
    /// Job that gets the released capacity.
    std::string beneficiary;
};

/// Decisions of a pass.
struct scheduling_result {
    /// Runs to start once they are committed.
    std::vector<run_assigned> assigned;
    /// Runs to stop so that guaranteed jobs can be placed.
    std::vector<preempted_run> preempted;
    /// Steps that were not placed, or not with all their tasks, in the order of the pass.
    std::vector<waiting_step> waiting;
};

/// Bounds of a site for the placement of tasks.
struct placement_bounds {
    /// Factor on the run time of tasks outside the rack where they are fast.
    double offRackSlowdown = 3.0;
    /// Time within which guaranteed jobs must have started, in milliseconds.
    std::int64_t reclaimMs = 3'400;
    /// Longest time that a worker takes to stop a run, in milliseconds.
    std::int64_t maxStopMs = 900;
};

/// Decides which runs to start and which to stop. Changes only the scheduler state; `nowMs` is in Unix milliseconds.
scheduling_result planPass(const batch_state&, const std::map<worker_number, worker_condition>&, scheduler_state&,
    const placement_bounds&, std::int64_t nowMs);

} // namespace chervilport::batch
