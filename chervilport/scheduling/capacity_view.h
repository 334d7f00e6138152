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

/// Returns, by worker, the capacity that a job may use now: free capacity minus what is reserved for other jobs.
/// Members may be negative. Workers that are out of service or that the job avoids have zero.
std::vector<resources> freeCapacityFor(const schedule_state&, const job_record&);

/// Returns the run time assumed for a job that is to be backfilled on places reserved for a later time.
log_duration backfillRunTime(const schedule_state&, const job_record&);

/// Returns whether a job may take places that are reserved for another one, which then loses its reservation. A job of
/// a higher class may; within a class, a job with a close deadline may unless the owner is a large gang or has a close
/// deadline itself.
bool mayOvertake(const schedule_state&, const job_record&, const job_record& owner);

/// Returns, by worker, the capacity that is reserved for other jobs and that the job may not use. A preemptible job
/// that is expected to end before a reservation is due may use its places.
std::vector<resources> reservedAgainst(const schedule_state&, const job_record&);

/// Returns whether a job avoids a worker because it failed there.
bool avoids(const schedule_state&, const job_record&, const worker_record&);

/// Returns how many tasks of the job each worker can take.
slot_table slotsFor(const job_record&, std::span<const resources> freeCapacity);

/// Returns the job's total demand on each of the given workers, by ascending worker index.
std::vector<std::pair<std::int32_t, resources>> demandByWorker(
    const job_record&, std::span<const std::int32_t> workers);

/// Returns whether team quota and workspace bound let the job start.
bool withinQuotas(const schedule_state&, const job_record&);

/// Returns the active jobs that run within the guarantee of their workspace; the others borrow. The jobs of a workspace
/// are counted against its guarantee in the order of preemptibility, class and age of their attempts.
std::set<job_id> guaranteedJobs(const schedule_state&);

/// Returns whether the job fits into the guarantee of its workspace together with the active jobs of the workspace that
/// it may not preempt: non-preemptible jobs and jobs of its own or a higher class.
bool fitsGuarantee(const schedule_state&, const job_record&);

} // namespace chervilport
