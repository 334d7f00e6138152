#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace chervilport {

/// State of a worker.
enum class worker_state : std::uint8_t {
    /// The slot of the table is not in use.
    Unused,
    /// In service.
    Ready,
    /// Gets no new tasks; its running tasks continue.
    Leaving,
    /// Its lease has expired; the record is kept for some time because the worker may return.
    Lost,
};

/// A task that a worker runs although no current attempt holds it; it is being killed.
struct orphan_task {
    /// The task.
    task_id task;
    /// Capacity counted for it; the whole worker if its job is unknown.
    resources use;
};

/// A failure of a job on a worker.
struct failure_record {
    /// The job.
    job_id job {};
    /// Its workspace and kind.
    std::pair<std::string, std::string> kind;
};

/// Record of a worker in the decision core.
struct worker_record {
    /// Name, unique in the domain.
    std::string name;
    /// Highest incarnation seen.
    std::uint64_t incarnation = 0;
    /// Rack name.
    std::string rack;
    /// Position of the rack.
    std::int32_t rackPosition = 0;
    /// Total capacity.
    resources capacity;
    /// Current state.
    worker_state state = worker_state::Unused;
    /// When it was lost.
    log_time lostAt;
    /// Tasks that no current attempt holds.
    std::vector<orphan_task> orphans;
    /// Jobs that failed on it since its last success, at most one entry per job.
    std::vector<failure_record> recentFailures;
    /// Whether it is in quarantine.
    bool quarantined = false;
    /// How often it was put in quarantine without a success in between.
    std::int32_t quarantineRound = 0;
    /// When the next probe may start.
    log_time probeAt;
    /// Job that runs on it as a probe, 0 if none.
    job_id probeJob {};

    /// Tasks of attempts on it, as job and rank.
    std::vector<std::pair<job_id, std::int32_t>> tasks;
    /// Derived: capacity held by its tasks and orphan tasks.
    resources used;
};

} // namespace chervilport
