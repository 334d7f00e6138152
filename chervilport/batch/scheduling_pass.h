#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_estimates.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/batch/urgent_reservation.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilport::batch {

/// What the leader knows of a worker beyond the agreed state.
struct worker_condition {
    /// Whether runs may be started there: it was heard in this term, is sound, and does not leave.
    bool usable = false;
    /// Likelihood that runs fail there, in thousandths.
    std::int32_t failureWeight = 0;
};

/// A worker that is kept for a job while runs stop there for it.
struct worker_reservation {
    std::string job;
    /// Unix milliseconds.
    std::int64_t expiresMs = 0;
};

/// What the leader remembers from one pass to the next. A new leader begins with an empty one.
struct scheduler_state {
    /// Runs that were told to stop.
    std::set<run_ref> stopping;
    /// Workers kept for jobs.
    std::map<worker_number, worker_reservation> reservations;
    /// Observed run times.
    run_estimates estimates;
    /// What urgent work needed lately.
    urgent_demand_window urgentDemand;
};

/// A run that has to stop for a job.
struct preempted_run {
    run_ref run;
    /// Job that gets the room.
    std::string beneficiary;
};

/// What a pass decided.
struct scheduling_result {
    /// Runs to begin, to be committed first.
    std::vector<run_assigned> assigned;
    /// Runs to stop so that guaranteed jobs find room.
    std::vector<preempted_run> preempted;
};

/// What a site says of the places of tasks.
struct placement_bounds {
    /// Tasks take this many times as long away from the rack where they are fast.
    double offRackSlowdown = 3.0;
    /// Time within which guaranteed jobs have begun, in milliseconds.
    std::int64_t reclaimMs = 3'400;
    /// Longest time that a worker takes to stop a run, in milliseconds.
    std::int64_t maxStopMs = 900;
};

/// Decides which tasks start where. Changes nothing but the memory; `nowMs` are Unix milliseconds.
scheduling_result planPass(const batch_state&, const std::map<worker_number, worker_condition>&, scheduler_state&,
    const placement_bounds&, std::int64_t nowMs);

} // namespace chervilport::batch
