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
    /// When.
    log_time at;
    /// The job.
    job_id job {};
    /// Index of its worker.
    std::int32_t worker = 0;
    /// What becomes free.
    resources amount;
};

/// Returns the expected ends of all tasks, the earliest first.
std::vector<expected_release> expectedReleases(const schedule_state&);

/// Returns the places at which the job is expected to find room first if running jobs end as estimated, or nothing if
/// it finds none even then. Leaves the places of other reservations alone.
std::optional<reservation> earliestPlaces(const schedule_state&, const job_record&, std::span<const expected_release>);

/// Drops reservations of jobs that are not queued any more or whose places went out of service.
void dropInvalidReservations(schedule_state&);

/// Notes that a job starts on the given workers: reservations that it may use count it as backfilled, and ones that it
/// passes by are dropped.
void updateReservationsOnStart(schedule_state&, const job_record&, std::span<const std::int32_t> workers);

/// Returns whether all places are free now.
bool arePlacesFree(const schedule_state&, const job_record&, std::span<const std::int32_t> workers);

} // namespace chervilport
