#pragma once

#include "chervilport/scheduling/job_record.h"
#include "chervilport/scheduling/placement.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace chervilport {

struct schedule_state;
struct worker_record;

/// Returns, by worker, what a job may take now: free capacity without what is reserved for others. Members may be
/// negative. Workers that the job avoids offer nothing.
std::vector<resources> freeCapacityFor(const schedule_state&, const job_record&);

/// Returns the run time that a job is taken to need when it is considered for places reserved for a later time.
log_duration backfillRunTime(const schedule_state&, const job_record&);

/// Returns whether a job may take places that are reserved for another one, which then loses its reservation: a job of
/// a higher class, or one whose deadline is close while the other is neither large nor pressed.
bool mayOvertake(const schedule_state&, const job_record&, const job_record& owner);

/// Returns, by worker, what reservations keep from a job. A preemptible job that is expected to end before a
/// reservation is due may use its places.
std::vector<resources> reservedAgainst(const schedule_state&, const job_record&);

/// Returns whether a job avoids a worker because it failed there.
bool avoids(const schedule_state&, const job_record&, const worker_record&);

/// Returns how many tasks of the job each worker can take.
slot_table slotsFor(const job_record&, std::span<const resources> freeCapacity);

/// Returns the job's whole demand by worker for the given places.
std::vector<std::pair<std::int32_t, resources>> demandByWorker(
    const job_record&, std::span<const std::int32_t> workers);

/// Returns whether team quota and workspace bound let the job start.
bool withinQuotas(const schedule_state&, const job_record&);

/// Returns the active jobs that run within the guarantee of their workspace; the others borrow. The jobs of a workspace
/// fill its guarantee in the order of preemptibility, class and age of their attempts.
std::set<job_id> guaranteedJobs(const schedule_state&);

/// Returns whether the job fits into the guarantee of its workspace beside those of the workspace's jobs that it may
/// not displace: non-preemptible ones and ones of its own or a higher class.
bool fitsGuarantee(const schedule_state&, const job_record&);

} // namespace chervilport
