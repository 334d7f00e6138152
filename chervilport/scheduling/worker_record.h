#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace chervilport {

/// Where a worker stands.
enum class worker_state : std::uint8_t {
    /// The slot of the table is not in use.
    Unused,
    /// In service.
    Ready,
    /// Gets no new task; what it runs goes on.
    Leaving,
    /// Its lease has run out; kept for a while because it may return.
    Lost,
};

/// A task that a worker runs although no current attempt holds it; it is being killed.
struct orphan_task {
    /// The task.
    task_id task;
    /// What it uses; the whole worker if its job is not known.
    resources use;
};

/// Evidence against a worker: a job of a kind failed on it.
struct failure_record {
    /// The job.
    job_id job {};
    /// Its workspace and kind.
    std::pair<std::string, std::string> kind;
};

/// A worker as the decision core knows it.
struct worker_record {
    /// Name, unique in the domain.
    std::string name;
    /// Highest incarnation seen.
    std::uint64_t incarnation = 0;
    /// Rack name.
    std::string rack;
    /// Position of the rack.
    std::int32_t rackPosition = 0;
    /// Whole capacity.
    resources capacity;
    /// Where it stands.
    worker_state state = worker_state::Unused;
    /// When it was lost.
    log_time lostAt;
    /// Tasks without an attempt.
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
    /// Derived: sum of what its tasks and foreign tasks hold.
    resources used;
};

} // namespace chervilport
