#pragma once

#include "tests/soak/task_name.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::soak {

/// A step as it was submitted.
struct submitted_step {
    /// Number of tasks.
    std::uint32_t count = 1;
    /// Per task, in thousandths of a core.
    std::int64_t milliCores = 0;
    /// Per task, in MB.
    std::int64_t memoryMb = 0;
    /// Per task.
    std::int64_t accelerators = 0;
    /// Whether all tasks have to run at the same time.
    bool isGang = false;
    /// Whether the step depends on the previous step.
    bool dependsOnPrevious = false;
    /// Working time of a task.
    std::chrono::milliseconds work { 0 };
};

/// Observations of a job by its client and the executors.
struct job_record {
    /// Specification as submitted.
    std::string spec;
    /// Steps as submitted.
    std::vector<submitted_step> steps;
    /// A submission got a success response.
    bool isAccepted = false;
    /// The client gave up, and no response left the outcome unknown: each attempt was refused or not sent.
    bool isRefused = false;
    /// The client has sent a cancellation.
    bool isCancelSent = false;
    /// A cancellation got a success response.
    bool isCancelAcknowledged = false;
    /// State in the last response; empty before the first response.
    std::string reportedState;
    /// Number of active runs on executors by task.
    std::map<task_name, int> active;
    /// Tasks that an executor has reported as done.
    std::set<task_name> done;
    /// Done tasks whose end was acknowledged to the executor.
    std::set<task_name> acknowledgedDone;
    /// Number of failed runs by task.
    std::map<task_name, std::uint32_t> failed;
    /// A run has started on an executor.
    bool hasStarted = false;
};

/// Records what clients and executors observe of all jobs, and reports violated invariants.
class invariant_checker {
public:
    /// Adds a job. Called before its first submission.
    void add(const std::string& id, std::string spec, std::vector<submitted_step>);

    /// Returns the record of a job, or null when no client submitted it.
    job_record* find(std::string_view id);

    /// Returns the step of a task, or null when the task is not part of a submitted job.
    const submitted_step* findStep(const task_name&);

    /// Records the start of a run on an executor.
    void recordStart(const task_name&, std::uint32_t run, std::string_view spec, const std::string& executor);

    /// Records the end of a run. `kind` is the kind of end that the executor lists, or `crashed`.
    void recordEnd(const task_name&, std::string_view kind);

    /// Records that the end of a done task was acknowledged before the executor's lease expired.
    void recordAcknowledgedEnd(const task_name&);

    /// Records that the client gave up a job none of whose submissions has an unknown outcome.
    void recordRefusal(const std::string& id);

    /// Records a response to a status request for an accepted job. `wasCancelAcknowledged` is whether its cancellation
    /// had been acknowledged when the request was sent.
    void recordState(const std::string& id, int status, const std::string& state, bool wasCancelAcknowledged);

    /// Logs and counts a violated invariant.
    void reportViolation(const std::string& invariant, const std::string& detail);

    /// Checks that all accepted jobs ended and that no ended job has active runs. Called once all faults are over and
    /// the settle time has passed.
    void checkFinalState();

    /// Returns the ids of accepted jobs without a final state.
    std::vector<std::string> unfinishedJobs() const;

    /// Returns the violations so far.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    bool areDependenciesDone(const job_record&, const task_name&) const;
    void checkCompleted(const std::string& id, const job_record&);

    std::map<std::string, job_record, std::less<>> m_jobs;
    std::vector<std::string> m_violations;
};

} // namespace chervilport::soak
