#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_record.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Places for a job and the jobs to stop for it.
struct reclaim_plan {
    /// Worker index of each task.
    std::vector<std::int32_t> workers;
    /// Jobs to stop.
    std::vector<job_id> victims;
    /// Sum of the victims' costs, in the unit of the `victim_cost` function.
    std::int64_t cost = 0;
};

/// Returns the cost of stopping a running job in favour of another one, or nothing if it may not be stopped.
using victim_cost = std::function<std::optional<std::int64_t>(const job_record&)>;

/// Finds the places that a job can get at the lowest cost by stopping others, or nothing if there are none.
std::optional<reclaim_plan> planReclaim(const schedule_state&, const job_record&, const victim_cost&);

/// Stops the victims, by checkpoint where they can write one, and reserves the places.
void executeReclaim(schedule_state&, const job_record&, const reclaim_plan&, const char* reason, std::vector<command>&);

/// Returns the expected run time that is lost if a job is stopped now, including the overhead of a restart.
log_duration expectedLoss(const schedule_state&, const job_record&);

/// Stops other jobs for a job that fits into the guarantee of its workspace, and reserves their places. Returns whether
/// it did.
bool reclaimForGuarantee(schedule_state&, const job_record&, std::vector<command>&);

/// Stops other jobs for a job if that delays them by less than the `wait` that it saves the job. Returns whether it
/// did.
bool reclaimIfWorthwhile(schedule_state&, const job_record&, log_duration wait, std::vector<command>&);

/// Stops the jobs that were backfilled on the places of a reservation once no other job holds them. Returns whether it
/// did.
bool reclaimBackfilled(schedule_state&, const job_record&, std::vector<command>&);

} // namespace chervilport
