#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/task_ref.h"

#include <cstdint>
#include <vector>

namespace chervilport::batch {

/// A step with tasks whose turn has come and that have no active run.
struct ready_step {
    /// Job; valid as long as the state is not changed.
    const job_record* job = nullptr;
    /// Occurrence.
    std::uint32_t occurrence = 0;
    /// Step.
    std::uint32_t step = 0;
    /// Tasks to start, by index. All tasks of the step for a gang.
    std::vector<std::uint32_t> tasks;
    /// Progress of the step; null when the occurrence has no record yet.
    const step_record* progress = nullptr;
    /// Time from which the job, or its occurrence, could run, Unix milliseconds; later steps become ready after it.
    std::int64_t jobDueMs = 0;
    /// Whether workers that are kept for urgent jobs can be used; decided by the pass.
    bool mayUseUrgentReservation = false;
};

/// Returns the specification of the step.
const step_spec& specOf(const ready_step&);

/// Returns the due time of an occurrence, Unix milliseconds; the time of acceptance for a job without due times.
std::int64_t dueMs(const job_record&, std::uint32_t occurrence);

/// Returns all steps that have tasks to start at the given time, Unix milliseconds.
std::vector<ready_step> listReadySteps(const batch_state&, std::int64_t nowMs);

} // namespace chervilport::batch
