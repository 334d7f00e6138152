#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/task_ref.h"

#include <cstdint>
#include <vector>

namespace chervilport::batch {

/// A step whose dependencies are done and that has unfinished tasks without an active run.
struct ready_step {
    /// Job; valid until the state changes.
    const job_record* job = nullptr;
    /// Occurrence of the job, from 0.
    std::uint32_t occurrence = 0;
    /// Step of the job, from 0.
    std::uint32_t step = 0;
    /// Indices of the tasks to start; all tasks of the step for a gang.
    std::vector<std::uint32_t> tasks;
    /// Progress of the step; null when the occurrence has no record yet.
    const step_record* progress = nullptr;
    /// Due time of the occurrence, Unix milliseconds; steps with dependencies become ready later.
    std::int64_t jobDueMs = 0;
    /// Whether the step may use workers that are reserved for urgent jobs; set by the pass.
    bool mayUseUrgentReservation = false;
    /// Whether a worker has crashed under the tasks, so that they may be the cause; set by the pass.
    bool isSuspect = false;
    /// Whether the tasks may be placed only on workers without runs of other jobs; set by the pass.
    bool needsEmptyWorker = false;
};

/// Returns the specification of the step.
const step_spec& specOf(const ready_step&);

/// Returns the due time of an occurrence, Unix milliseconds. It is the time of acceptance for a job without due times.
std::int64_t dueMs(const job_record&, std::uint32_t occurrence);

/// Returns all steps that have tasks to start at the given time, Unix milliseconds.
std::vector<ready_step> listReadySteps(const batch_state&, std::int64_t nowMs);

} // namespace chervilport::batch
