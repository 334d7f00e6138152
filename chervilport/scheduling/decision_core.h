#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/job_spec.h"
#include "chervilport/scheduling/job_state.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// State of the scheduler of one failure domain; opaque to users of the core.
struct schedule_state;

/// Deletes a state; lets the type stay incomplete for users.
struct schedule_state_deleter {
    /// Deletes the state.
    void operator()(schedule_state*) const;
};

/// Owner of a state.
using schedule_state_ptr = std::unique_ptr<schedule_state, schedule_state_deleter>;

/// State of a job as shown to callers.
struct job_view {
    /// Id of the job.
    job_id job {};
    /// Specification from the submission.
    job_spec spec;
    /// Current state.
    job_state state = job_state::Queued;
    /// Current or last attempt, 0 before the first.
    std::int32_t attempt = 0;
    /// Reason for the state; may be empty.
    std::string reason;
    /// When it was accepted.
    log_time submittedAt;
    /// When the start of the last task of the current attempt was confirmed, if all were.
    std::optional<log_time> startedAt;
    /// When it reached a final state, if it did.
    std::optional<log_time> endedAt;
    /// Forecast of its end, if there is one.
    std::optional<log_time> forecastEnd;
    /// Worker of each task of the current attempt, by rank; empty while queued.
    std::vector<std::string> workers;
};

/// Totals over the fleet of a domain, as shown to operators.
struct fleet_view {
    /// Workers that joined and are not lost.
    std::int32_t workers = 0;
    /// Workers in quarantine.
    std::int32_t quarantined = 0;
    /// Accelerators of these workers.
    std::int32_t accelerators = 0;
    /// Accelerators of these workers that no task holds.
    std::int32_t freeAccelerators = 0;
    /// Queued jobs.
    std::int32_t queuedJobs = 0;
    /// Jobs starting, running or stopping.
    std::int32_t activeJobs = 0;
    /// Tasks of these jobs.
    std::int32_t activeTasks = 0;
};

/// Description of a worker that is not lost.
struct worker_view {
    /// Name.
    std::string worker;
    /// Incarnation under which it joined.
    std::uint64_t incarnation = 0;
    /// Whether it is leaving.
    bool leaving = false;
    /// Whether it is in quarantine.
    bool quarantined = false;
    /// Position of its rack.
    std::int32_t rackPosition = 0;
    /// Total capacity.
    resources capacity;
};

/// Creates the state of an empty domain.
schedule_state_ptr makeScheduleState();

/// Applies one event at the given time and returns the commands that follow from it, in order.
/// `now` must not be before the time of the last event. The same events at the same times give the same commands.
std::vector<command> applyEvent(schedule_state&, const event&, log_time now);

/// Returns the start, stop and throttle commands whose confirmation is still awaited; a new leader issues them again.
std::vector<command> outstandingCommands(const schedule_state&);

/// Returns a job, or nothing if the id is unknown or its record was removed.
std::optional<job_view> findJob(const schedule_state&, job_id);

/// Returns the jobs of a workspace, or of all workspaces when the name is empty, newest first, at most `limit`.
std::vector<job_view> listJobs(const schedule_state&, std::string_view workspace, std::size_t limit);

/// Returns totals over the fleet.
fleet_view viewFleet(const schedule_state&);

/// Returns a worker that joined and is not lost, or nothing.
std::optional<worker_view> findWorker(const schedule_state&, std::string_view worker);

/// Returns all workers that joined and are not lost, by name.
std::vector<worker_view> listWorkers(const schedule_state&);

/// Returns the version of the last `configuration_changed`, 0 before the first.
std::uint64_t configurationVersion(const schedule_state&);

/// Returns the time at which the core needs the next `timer_fired`, if any.
std::optional<log_time> nextWakeTime(const schedule_state&);

/// Encodes the complete state for a snapshot.
std::string encodeState(const schedule_state&);

/// Decodes a state. Throws chervilport_error of kind StorageFailure if the bytes are not a complete, consistent state.
schedule_state_ptr decodeState(std::string_view bytes);

} // namespace chervilport
