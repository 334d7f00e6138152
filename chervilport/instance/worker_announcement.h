#pragma once

#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// What a worker says about one of its tasks.
enum class announced_task_state : std::uint8_t {
    /// It runs.
    Running,
    /// It ended well by itself.
    Succeeded,
    /// It ended badly by itself, or could not be started.
    Failed,
    /// It was stopped on command without a checkpoint.
    Stopped,
    /// It was stopped on command after writing a checkpoint.
    Checkpointed,
};

/// One task in an announcement.
struct announced_task {
    /// The task.
    task_id task;
    /// Where it stands.
    announced_task_state state = announced_task_state::Running;
    /// Its use when last measured.
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
    /// Incarnation; rises with each restart of the worker.
    std::uint64_t incarnation = 0;
    /// Number of the announcement within the incarnation.
    std::uint64_t sequence = 0;
    /// Whether the worker is leaving.
    bool leaving = false;
    /// Rack.
    std::string rack;
    /// Position of the rack.
    std::int32_t rackPosition = 0;
    /// Whole capacity.
    resources capacity;
    /// Set on a keep-alive, which leaves everything else out: number of the last acknowledged announcement, since which
    /// nothing has changed.
    std::optional<std::uint64_t> unchangedSince;
    /// Tasks that run, and ended ones until they are acknowledged.
    std::vector<announced_task> tasks;
};

/// Returns whether a body announces a worker and not an executor.
bool announcesWorker(std::string_view body);

/// Reads an announcement. Throws chervilport_error of kind InvalidRequest that names the member at fault.
worker_announcement parseWorkerAnnouncement(std::string_view body);

} // namespace chervilport
