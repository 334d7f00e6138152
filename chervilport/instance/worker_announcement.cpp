#include "chervilport/instance/worker_announcement.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/json_reader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxTasks = 4'096;
    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t maxInt32 = std::numeric_limits<std::int32_t>::max();
    constexpr std::array<std::string_view, 5> taskStateNames { "running", "succeeded", "failed", "stopped",
        "checkpointed" };

    announced_task readTask(const nlohmann::json& item)
    {
        json_reader reader(item, "tasks");
        announced_task task;
        task.task.job = static_cast<job_id>(reader.integer("job", 1, maxInteger, 1));
        task.task.attempt = static_cast<std::int32_t>(reader.integer("attempt", 1, maxInt32, 1));
        task.task.rank = static_cast<std::int32_t>(reader.integer("rank", 0, maxInt32, 0));
        const auto name = reader.requiredText("state", maxNameBytes);
        const auto* const found = std::find(taskStateNames.begin(), taskStateNames.end(), name);
        if (found == taskStateNames.end())
            throw chervilport_error(error_kind::InvalidRequest, "tasks.state is unknown: " + name);
        task.state = static_cast<announced_task_state>(found - taskStateNames.begin());
        if (const auto* const use = reader.object("use")) {
            json_reader inner(*use, "tasks.use");
            task.use.accelerators = static_cast<std::int32_t>(inner.integer("accelerators", 0, maxInt32, 0));
            task.use.millicores = static_cast<std::int32_t>(inner.integer("millicores", 0, maxInt32, 0));
            task.use.memoryMb = inner.integer("memory_mb", 0, maxInteger, 0);
            task.useAge = std::chrono::milliseconds(inner.integer("age_ms", 0, maxInt32, 0));
            inner.refuseUnknown();
        }
        reader.refuseUnknown();
        return task;
    }

} // namespace

bool announcesWorker(std::string_view body)
{
    const auto document = parseJsonObject(body);
    json_reader reader(document, "");
    const auto kind = reader.requiredText("kind", maxNameBytes);
    if (kind != "worker" && kind != "executor")
        throw chervilport_error(error_kind::InvalidRequest, "kind must be worker or executor");
    return kind == "worker";
}

worker_announcement parseWorkerAnnouncement(std::string_view body)
{
    const auto document = parseJsonObject(body);
    json_reader reader(document, "");
    worker_announcement announcement;
    reader.requiredText("kind", maxNameBytes);
    announcement.address = reader.requiredText("address", maxNameBytes);
    announcement.failureDomain = reader.requiredText("failure_domain", maxNameBytes);
    announcement.incarnation = static_cast<std::uint64_t>(reader.integer("incarnation", 1, maxInteger, 1));
    announcement.sequence = static_cast<std::uint64_t>(reader.integer("sequence", 0, maxInteger, 0));
    // A heartbeat has no further members.
    if (const auto sequence = reader.optionalInteger("unchanged_since", 0, maxInteger)) {
        announcement.unchangedSince = static_cast<std::uint64_t>(*sequence);
        reader.refuseUnknown();
        return announcement;
    }
    // Read the full announcement.
    const auto state = reader.text("state", maxNameBytes, "ready");
    if (state != "ready" && state != "leaving")
        throw chervilport_error(error_kind::InvalidRequest, "state must be ready or leaving");
    announcement.leaving = state == "leaving";
    announcement.rack = reader.text("rack", maxNameBytes, "rack-0");
    announcement.rackPosition = static_cast<std::int32_t>(reader.integer("rack_position", 0, maxInt32, 0));
    announcement.capacity.accelerators = static_cast<std::int32_t>(reader.integer("accelerators", 0, 1'024, 0));
    announcement.capacity.millicores = static_cast<std::int32_t>(reader.integer("cores", 0, 100'000, 0) * 1'000);
    announcement.capacity.memoryMb = reader.integer("memory_mb", 0, maxInteger, 0);
    if (const auto* const tasks = reader.array("tasks", maxTasks)) {
        for (const auto& item : *tasks)
            announcement.tasks.push_back(readTask(item));
    }
    reader.refuseUnknown();
    return announcement;
}

} // namespace chervilport
