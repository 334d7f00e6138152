#pragma once

#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// State of a task as its worker announces it.
enum class announced_task_state : std::uint8_t {
    /// The task is running.
    Running,
    /// The task exited with success.
    Succeeded,
    /// The task exited with a failure or could not be started.
    Failed,
    /// The task was stopped on command without a checkpoint.
    Stopped,
    /// The task was stopped on command after it wrote a checkpoint.
    Checkpointed,
};

/// One task in an announcement.
struct announced_task {
    /// Id of the task.
    task_id task;
    /// State of the task.
    announced_task_state state = announced_task_state::Running;
    /// Last measured resource usage.
    resources use;
    /// Age of the measurement.
    log_duration useAge { 0 };
};

/// An announcement of a worker.
struct worker_announcement {
    /// IP address and port of the worker; also its name.
    std::string address;
    /// Failure domain of the worker.
    std::string failureDomain;
    /// Incarnation; increases with each restart of the worker.
    std::uint64_t incarnation = 0;
    /// Number of the announcement within the incarnation.
    std::uint64_t sequence = 0;
    /// Whether the worker is leaving.
    bool leaving = false;
    /// Name of the rack.
    std::string rack;
    /// Position of the rack; racks with consecutive positions are adjacent.
    std::int32_t rackPosition = 0;
    /// Total capacity.
    resources capacity;
    /// Set on a heartbeat, which omits state, rack, capacity and tasks: number of the last acknowledged announcement,
    /// since which nothing has changed.
    std::optional<std::uint64_t> unchangedSince;
    /// Running tasks, and ended tasks that are not acknowledged yet.
    std::vector<announced_task> tasks;
};

/// Returns whether a body announces a worker rather than an executor. Throws chervilport_error of kind InvalidRequest
/// when it announces neither.
bool announcesWorker(std::string_view body);

/// Parses an announcement. Throws chervilport_error of kind InvalidRequest that names the invalid member.
worker_announcement parseWorkerAnnouncement(std::string_view body);

} // namespace chervilport
