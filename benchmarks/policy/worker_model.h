#pragma once

#include "benchmarks/policy/event_stream.h"
#include "benchmarks/policy/fleet_map.h"
#include "benchmarks/policy/live_attempt.h"
#include "benchmarks/policy/run_record.h"
#include "chervilport/scheduling/event.h"

#include <map>
#include <vector>

namespace chervilport::policy_benchmark {

/// Simulated state of a worker.
struct modelled_worker {
    /// Whether it is up.
    bool isUp = true;
    /// Whether the scheduler was notified that it joined, and not since then that it was lost.
    bool isJoined = false;
    /// Whether it fails every task that it starts.
    bool failsStarts = false;
    /// Incarnation.
    std::uint64_t incarnation = 0;
};

/// Simulated workers with the attempts on them. Checks that no worker is overcommitted, that no job has two live
/// attempts and that all tasks of a gang are placed; throws rule_violation otherwise.
class worker_model {
public:
    /// Creates the workers of a stream, none of them joined.
    explicit worker_model(const event_stream&);

    /// Returns a worker.
    modelled_worker& worker(std::size_t index) { return m_workers.at(index); }

    /// Returns the index of a worker. Throws rule_violation if there is none with this name.
    std::size_t workerIndex(const std::string& name) const;

    /// Returns the live attempt of a job with the given number, or null.
    live_attempt* find(std::size_t job, std::int32_t attempt);

    /// Adds a task; returns null if it already exists. `resumedWork` is the run time that a checkpoint saved.
    live_task* addTask(std::size_t job, const task_id&, std::size_t worker, log_duration resumedWork);

    /// Checks that a newly started attempt has all its tasks and the required adjacency.
    void checkPlacement(std::size_t job, std::int32_t attempt) const;

    /// Checks that all tasks of an attempt run, or that it has ended, or that its stop was requested.
    void checkNotPartial(std::size_t job, std::int32_t attempt) const;

    /// Releases the capacity of a task. Returns whether it was the last one of its attempt.
    bool removeTask(live_attempt&, std::size_t rank);

    /// Removes an attempt that has no tasks left.
    void removeAttempt(std::size_t job) { m_attempts.erase(job); }

    /// Returns the live attempts by job.
    std::map<std::size_t, live_attempt>& attempts() { return m_attempts; }

    /// Adds the capacity of a worker when it joins, or removes it when the worker is lost.
    void setJoined(std::size_t worker, bool isJoined);

    /// Returns the free capacity of the joined workers.
    const fleet_map& freeCapacity() const { return m_free; }

private:
    [[noreturn]] void fail(std::size_t job, std::int32_t attempt, const std::string& what) const;

    const event_stream& m_stream;
    std::vector<modelled_worker> m_workers;
    std::map<std::string, std::size_t> m_workerIndex;
    std::map<std::size_t, live_attempt> m_attempts;
    std::vector<std::int32_t> m_lastAttempt;
    fleet_map m_free;
};

} // namespace chervilport::policy_benchmark
