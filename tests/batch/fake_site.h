#pragma once

#include "chervilport/batch/batch_apply.h"
#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/scheduling_pass.h"

#include <map>
#include <string>
#include <vector>

namespace chervilport::batch_tests {

/// Names of the queues of a fake site, by priority.
inline constexpr const char* urgentQueue = "urgent";
inline constexpr const char* normalQueue = "normal";
inline constexpr const char* backgroundQueue = "background";

/// A site without processes: commands are applied at once, and runs start as soon as a pass has assigned them.
class fake_site {
public:
    /// Creates a site with three queues and one workspace with this guarantee.
    explicit fake_site(std::int64_t guaranteedAccelerators = 0);

    /// Applies one command.
    void apply(batch::batch_command);

    /// Adds usable workers of 64 cores, 256,000 MB and 8 accelerators, `perRack` in each rack.
    void addWorkers(int count, int perRack = 8);

    /// Submits a job with these steps and returns its id.
    std::string submit(const char* queue, std::vector<batch::step_spec> steps, const std::string& workspace = "main");

    /// Sets the workspaces of the configuration.
    void configureWorkspaces(std::vector<batch::workspace_quota>);

    /// Plans a pass, applies its assignments and returns its result.
    batch::scheduling_result pass();

    /// Ends a run on its worker.
    void end(const batch::run_ref&, batch::run_end_kind, const std::string& checkpoint = {});

    /// Ends all active runs of a job.
    void endAll(const std::string& job, batch::run_end_kind);

    /// Returns the active runs of a job.
    std::vector<batch::run_assigned> activeRuns(const std::string& job) const;

    /// Advances the clock by this many milliseconds.
    void advance(std::int64_t ms) { m_nowMs += ms; }

    /// Returns the clock, Unix milliseconds.
    std::int64_t nowMs() const { return m_nowMs; }

    const batch::batch_state& state() const { return m_state; }

    /// Returns the job with this id, which must exist.
    const batch::job_record& job(const std::string& id) const { return m_state.jobs.at(id); }

    /// Conditions of the workers as the leader sees them.
    std::map<batch::worker_number, batch::worker_condition> conditions;

    /// State that the leader keeps between passes.
    batch::scheduler_state schedulerState;

    /// Bounds of the site.
    batch::placement_bounds bounds;

private:
    batch::batch_state m_state;
    std::int64_t m_nowMs = 1'000'000;
    int m_jobs = 0;
    int m_workers = 0;
};

/// Returns a step of tasks that each need these accelerators, one core and 1,000 MB, with an estimate of 2 s.
batch::step_spec stepOf(std::uint32_t count, std::int64_t accelerators);

/// Returns such a step as a gang.
batch::step_spec gangStep(std::uint32_t count, std::int64_t accelerators);

/// Returns whether the active runs of each worker fit into its capacity.
bool isWithinCapacity(const batch::batch_state&);

/// Returns a report of a worker of the size that `addWorkers` adds, in rack `r0`.
batch::worker_report reportOf(const std::string& id, const std::string& address, std::int64_t incarnation);

} // namespace chervilport::batch_tests
