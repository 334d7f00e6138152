#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chervilport::batch {

/// Identifies a task.
struct task_ref {
    /// Id of the job.
    std::string job;
    /// Occurrence of the job, from 0.
    std::uint32_t occurrence = 0;
    /// Step, from 0.
    std::uint32_t step = 0;
    /// Task of the step, from 0.
    std::uint32_t index = 0;

    friend auto operator<=>(const task_ref&, const task_ref&)
        = default; // NOLINT(modernize-use-nullptr): a false finding of the linter
};

/// Identifies a run of a task.
struct run_ref {
    /// Task of the run.
    task_ref task;
    /// Number of the run, from 1.
    std::uint32_t run = 0;

    friend auto operator<=>(const run_ref&, const run_ref&)
        = default; // NOLINT(modernize-use-nullptr): a false finding of the linter
};

/// Returns the name of a task for logs: `JOB.OCCURRENCE.STEP.INDEX`.
inline std::string describe(const task_ref& task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

/// Returns the name of a run for logs: `TASK#RUN`.
inline std::string describe(const run_ref& run) { return describe(run.task) + '#' + std::to_string(run.run); }

} // namespace chervilport::batch
