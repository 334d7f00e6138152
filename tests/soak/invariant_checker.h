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
    std::uint32_t count = 1;
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    bool gang = false;
    /// Whether all tasks of the step before have to be done first.
    bool afterPrevious = false;
    std::chrono::milliseconds work { 0 };
};

/// What is known of a job from what its caller and the executors have seen.
struct job_record {
    std::string spec;
    std::vector<submitted_step> steps;
    /// A submission was answered with success.
    bool accepted = false;
    /// The caller gave up, and every one of its submissions was answered as not run.
    bool refused = false;
    bool cancelSent = false;
    bool cancelAcknowledged = false;
    /// State that the last answer gave; empty before the first.
    std::string reportedState;
    /// Runs by task that work on executors now.
    std::map<task_name, int> active;
    /// Tasks that an executor has ended well.
    std::set<task_name> done;
    /// Tasks whose good end was acknowledged to the executor.
    std::set<task_name> acknowledgedDone;
    /// Failed ends by task.
    std::map<task_name, std::uint32_t> failed;
    bool started = false;
};

/// Keeps the account of all jobs and notes every broken promise.
class invariant_checker {
public:
    /// Adds a job before its first submission.
    void add(const std::string& id, std::string spec, std::vector<submitted_step>);

    /// Returns the account of a job, or null when no caller submitted it.
    job_record* find(std::string_view id);

    /// Returns the step of a task, or null.
    const submitted_step* findStep(const task_name&);

    /// Notes that a run has begun on an executor.
    void recordStart(const task_name&, std::uint32_t run, std::string_view spec, const std::string& executor);

    /// Notes that a run is over. `how` is the word of the executor's list of ends.
    void recordEnd(const task_name&, std::string_view how);

    /// Notes that the good end of a task was acknowledged while the executor's lease held.
    void recordAcknowledgedEnd(const task_name&);

    /// Notes that the caller gave the job up and all its submissions were answered as not run.
    void recordRefusal(const std::string& id);

    /// Notes an answer to a question for the state of an accepted job, and whether its cancelling had been acknowledged
    /// when the question was sent.
    void recordState(const std::string& id, int status, const std::string& state, bool wasCancelAcknowledged);

    /// Notes a broken promise.
    void reportViolation(const std::string& invariant, const std::string& detail);

    /// Checks what must hold once all faults are over and everything had time to end.
    void checkFinalState();

    /// Returns the ids of accepted jobs without a final state.
    std::vector<std::string> unfinishedJobs() const;

    const std::vector<std::string>& violations() const { return m_violations; }

private:
    bool areDependenciesDone(const job_record&, const task_name&) const;
    void checkCompleted(const std::string& id, const job_record&);

    std::map<std::string, job_record, std::less<>> m_jobs;
    std::vector<std::string> m_violations;
};

} // namespace chervilport::soak
