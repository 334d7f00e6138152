#pragma once

#include "chervilport/scheduling/decision_core.h"
#include "chervilport/scheduling/job_record.h"
#include "chervilport/scheduling/kind_record.h"
#include "chervilport/scheduling/placement.h"
#include "chervilport/scheduling/reservation.h"
#include "chervilport/scheduling/witness_instance.h"
#include "chervilport/scheduling/worker_record.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervilport {

/// Workspace and another name: a client key, a team or a kind.
using workspace_key = std::pair<std::string, std::string>;

/// Ended jobs whose records are kept, about a week of 610 jobs a day; their client keys are removed with them.
inline constexpr std::size_t maxEndedJobs = 4096;

/// Scheduler state of one failure domain. Members marked as derived are rebuilt from the others by `rebuildDerived`.
struct schedule_state {
    /// Time of the last event.
    log_time now;
    /// Current configuration.
    configuration_changed configuration;
    /// Workers by index; unused slots are reused.
    std::vector<worker_record> workers;
    /// Number of the next accepted job.
    std::uint64_t nextJob = 1;
    /// Jobs that are not final.
    std::map<job_id, job_record> jobs;
    /// Ended jobs.
    std::map<job_id, job_record> ended;
    /// Ended jobs in the order of their end.
    std::deque<job_id> endedOrder;
    /// Jobs by workspace and client key.
    std::map<workspace_key, job_id> clientKeys;
    /// Places reserved for queued jobs.
    std::map<job_id, reservation> reservations;
    /// Guaranteed gangs and their places: the witness that every guarantee can be provided.
    std::vector<witness_instance> witness;
    /// Missing accelerators last reported, by workspace.
    std::map<std::string, std::int32_t> reportedShortfall;
    /// Observations by workspace and kind.
    std::map<workspace_key, kind_record> kinds;
    /// Time of the last `wake_at` command.
    std::optional<log_time> wakeAt;
    /// Time of the next scheduling pass for the aging of queued jobs.
    std::optional<log_time> reviewAt;

    /// Derived: worker index by name.
    std::map<std::string, std::int32_t, std::less<>> workerByName;
    /// Derived: racks of the workers that are neither unused nor lost.
    rack_index racks;
    /// Derived: workspace index by name.
    std::map<std::string, std::int32_t, std::less<>> workspaceByName;
    /// Derived: accelerators held by workspace name.
    std::map<std::string, std::int32_t> heldByWorkspace;
    /// Derived: accelerators held by workspace and team.
    std::map<workspace_key, std::int32_t> heldByTeam;
    /// Derived: what non-preemptible jobs hold, by workspace index and worker; the last row is for jobs of removed
    /// workspaces.
    std::vector<std::vector<resources>> nonPreemptibleUse;
    /// Derived: capacity at the places of the witness, by workspace index and worker.
    std::vector<std::vector<resources>> witnessUse;
};

/// Rebuilds all derived members.
void rebuildDerived(schedule_state&);

/// Rebuilds the rack index after a worker joined, left or changed.
void rebuildRacks(schedule_state&);

/// Returns the index of a workspace in the configuration, or the number of workspaces if it was removed.
std::size_t workspaceIndex(const schedule_state&, const std::string& workspace);

/// Returns whether new tasks of ordinary jobs may be placed on a worker.
bool isPlaceable(const worker_record&);

/// Returns the total accelerators of a workspace's guarantee.
std::int32_t guaranteedAccelerators(const workspace_config&);

/// Returns the record of a job that is not final, or null.
job_record* findActive(schedule_state&, job_id);

} // namespace chervilport
