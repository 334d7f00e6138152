#pragma once

#include "chervilport/scheduling/job_record.h"
#include "chervilport/scheduling/reservation.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Expected end of a task.
struct expected_release {
    /// Expected time.
    log_time at;
    /// The job.
    job_id job {};
    /// Index of its worker.
    std::int32_t worker = 0;
    /// Capacity that becomes free.
    resources amount;
};

/// Returns the expected ends of all tasks, the earliest first.
std::vector<expected_release> expectedReleases(const schedule_state&);

/// Returns a reservation of the places that are expected to be free for the job first if running jobs end as estimated,
/// or nothing if the job does not fit even then. Uses no places that are reserved for other jobs.
std::optional<reservation> earliestPlaces(const schedule_state&, const job_record&, std::span<const expected_release>);

/// Removes reservations of jobs that are no longer queued or on workers that are out of service.
void dropInvalidReservations(schedule_state&);

/// Updates the reservations that conflict with a job starting on the given workers: reservations that it may overtake
/// are removed, and others record it as backfilled.
void updateReservationsOnStart(schedule_state&, const job_record&, std::span<const std::int32_t> workers);

/// Returns whether all places are free now.
bool arePlacesFree(const schedule_state&, const job_record&, std::span<const std::int32_t> workers);

} // namespace chervilport
