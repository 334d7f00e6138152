#pragma once

#include "chervilport/scheduling/decision_core.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chervilport::scheduling_tests {

/// Identifies a task on a worker.
struct placed_task {
    std::string worker;
    job_id job {};
    std::int32_t attempt = 0;
    std::int32_t rank = 0;

    friend bool operator<(const placed_task& a, const placed_task& b)
    {
        return std::tie(a.worker, a.job, a.attempt, a.rank) < std::tie(b.worker, b.job, b.attempt, b.rank);
    }
};

/// What the worker of a task still has to confirm.
enum class pending : std::uint8_t { Nothing, Start, Checkpoint, Kill };

/// Simulates the workers of a domain and checks the invariants of the core after every event: no overcommitment, no
/// partial start, no second active attempt, no change of an ended job, every guarantee reclaimable.
class fake_domain {
public:
    fake_domain();

    /// Applies an event at the current time and checks its commands.
    std::vector<command> apply(const event&);

    /// Advances the time and fires the timers that become due.
    void advance(log_duration);

    /// Joins a worker with 8 accelerators, 64 cores and 256 GB.
    void join(const std::string& name, std::int32_t rack, std::uint64_t incarnation = 1,
        const std::vector<task_id>& tasks = {});

    /// Joins `racks` racks of `perRack` workers, named w<rack>-<number>.
    void joinFleet(std::int32_t racks, std::int32_t perRack);

    /// Reports a worker as lost.
    void lose(const std::string& name);

    /// Applies a configuration.
    void configure(const std::vector<workspace_config>&, const policy_config& = {});

    /// Submits a job that must be accepted.
    job_id submit(const job_spec&);

    /// Submits a job that must be refused.
    job_refused submitRefused(const job_spec&);

    /// Confirms pending commands until none is left.
    void confirmAll(bool checkpointed = true);

    /// Confirms the pending command of a task.
    void confirm(const placed_task&, bool checkpointed = true);

    /// Ends all tasks of a running job with success, or the first one with failure.
    void finish(job_id, bool succeeded = true);

    /// Reports that a task ended.
    void end(const placed_task&, bool succeeded);

    /// Returns the state of a job.
    job_state stateOf(job_id job) const { return findJob(*state, job)->state; }

    /// Returns the live tasks of a job.
    std::vector<placed_task> tasksOf(job_id) const;

    /// Returns the workers of a job's live tasks.
    std::set<std::string> workersOf(job_id) const;

    schedule_state_ptr state;
    log_time now;
    std::map<placed_task, pending> live;
    std::map<std::string, std::int32_t> rackOf;
    std::map<job_id, job_spec> specs;
    std::map<job_id, job_state> ended;
    std::map<std::string, std::int32_t> shortfall;
    std::set<std::string> quarantined;
    std::vector<workspace_config> workspaces;
    std::vector<command> commands;
    std::vector<std::pair<event, log_time>> history;

private:
    void observe(const start_task&);
    void observe(const stop_task&);
    void observe(const throttle_task&) { }
    void observe(const job_accepted&) { }
    void observe(const job_refused&) { }
    void observe(const job_changed&);
    void observe(const worker_quarantine_changed&);
    void observe(const guarantee_shortfall_changed&);
    void observe(const wake_at&) { }
    void checkStarts(const std::vector<command>&) const;
    void checkCapacity() const;
    void checkGuarantees() const;
};

/// The capacity of every fake worker.
inline constexpr resources workerCapacity { 8, 64'000, 262'144 };

/// Returns a specification of tasks with one accelerator, 4 cores and 16 GB each.
job_spec gangOf(std::int32_t tasks, adjacency = adjacency::Any, const std::string& workspace = "main");

} // namespace chervilport::scheduling_tests
