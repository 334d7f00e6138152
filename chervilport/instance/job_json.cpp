#include "chervilport/instance/job_json.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/json_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <span>

namespace chervilport {

namespace {

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxPayloadBytes = std::size_t { 32 } * 1024;
    constexpr std::int64_t maxTasks = 64;
    constexpr std::int64_t maxAcceleratorsPerTask = 64;
    constexpr std::int64_t maxCoresPerTask = 1'024;
    constexpr std::int64_t maxMemoryMbPerTask = 16'777'216;
    constexpr std::int64_t maxSeconds = std::int64_t { 366 } * 24 * 3'600;
    constexpr std::int64_t millicoresPerCore = 1'000;

    constexpr std::array<std::string_view, 3> classNames { "urgent", "standard", "batch" };
    constexpr std::array<std::string_view, 4> placementNames { "any", "adjacent_racks", "rack", "worker" };
    constexpr std::array<std::string_view, 9> stateNames { "queued", "starting", "running", "stopping", "succeeded",
        "failed", "cancelled", "expired", "infeasible" };

    template <typename Enum>
    Enum readName(
        json_reader& reader, std::string_view key, std::span<const std::string_view> names, std::string_view fallback)
    {
        const auto name = reader.text(key, maxNameBytes, fallback);
        const auto found = std::find(names.begin(), names.end(), name);
        if (found != names.end())
            return static_cast<Enum>(found - names.begin());
        std::string allowed;
        for (const auto each : names)
            allowed += (allowed.empty() ? "" : ", ") + std::string(each);
        throw chervilport_error(error_kind::InvalidRequest, std::string(key) + " must be one of " + allowed);
    }

    resources readDemand(json_reader& reader)
    {
        resources demand { 1, millicoresPerCore, 1'024 };
        const auto* const object = reader.object("per_task");
        if (!object)
            return demand;
        json_reader inner(*object, "per_task");
        demand.accelerators
            = static_cast<std::int32_t>(inner.integer("accelerators", 0, maxAcceleratorsPerTask, demand.accelerators));
        demand.millicores = static_cast<std::int32_t>(
            inner.integer("millicores", 0, maxCoresPerTask * millicoresPerCore, demand.millicores));
        demand.memoryMb = inner.integer("memory_mb", 0, maxMemoryMbPerTask, demand.memoryMb);
        inner.refuseUnknown();
        return demand;
    }

    std::int64_t toUnixMilliseconds(log_time time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

    nlohmann::json optionalTime(const std::optional<log_time>& time)
    {
        return time ? nlohmann::json(toUnixMilliseconds(*time)) : nlohmann::json(nullptr);
    }

} // namespace

job_submission parseJobSubmission(std::string_view body)
{
    const auto document = parseJsonObject(body);
    json_reader reader(document, "");
    job_submission submission;
    auto& spec = submission.spec;
    spec.workspace = reader.requiredText("workspace", maxNameBytes);
    spec.team = reader.text("team", maxNameBytes);
    spec.kind = reader.text("kind", maxNameBytes, "default");
    spec.clientKey = reader.text("client_key", maxNameBytes);
    spec.jobClass = readName<job_class>(reader, "class", classNames, "standard");
    spec.taskCount = static_cast<std::int32_t>(reader.integer("tasks", 1, maxTasks, 1));
    spec.perTask = readDemand(reader);
    spec.placement = readName<adjacency>(reader, "placement", placementNames, "any");
    spec.declaredRunTime = std::chrono::seconds(reader.integer("run_time_s", 0, maxSeconds, 0));
    spec.preemptible = reader.boolean("preemptible", true);
    spec.checkpointable = reader.boolean("checkpointable", false);
    spec.payload = reader.text("payload", maxPayloadBytes);
    if (const auto seconds = reader.optionalInteger("deadline_s", 0, maxSeconds))
        submission.deadlineIn = std::chrono::seconds(*seconds);
    submission.failureDomain = reader.text("failure_domain", maxNameBytes);
    reader.refuseUnknown();
    return submission;
}

std::string formatJobId(std::string_view failureDomain, job_id id)
{
    return std::string(failureDomain) + "-" + std::to_string(static_cast<std::uint64_t>(id));
}

public_job_id parseJobId(std::string_view text)
{
    const auto dash = text.rfind('-');
    std::uint64_t number = 0;
    if (dash != std::string_view::npos && dash > 0) {
        const auto* const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + dash + 1, end, number);
        if (parsed.ec == std::errc {} && parsed.ptr == end && number > 0)
            return { std::string(text.substr(0, dash)), static_cast<job_id>(number) };
    }
    throw chervilport_error(error_kind::NotFound, "no job has the id " + std::string(text.substr(0, maxNameBytes)));
}

std::string_view toString(job_state state) { return stateNames[static_cast<std::size_t>(state)]; }

std::string_view className(job_class jobClass) { return classNames[static_cast<std::size_t>(jobClass)]; }

nlohmann::json jobToJson(std::string_view failureDomain, const job_view& job)
{
    const auto& spec = job.spec;
    return {
        { "id", formatJobId(failureDomain, job.job) },
        { "workspace", spec.workspace },
        { "team", spec.team },
        { "kind", spec.kind },
        { "client_key", spec.clientKey },
        { "class", className(spec.jobClass) },
        { "tasks", spec.taskCount },
        { "per_task",
            { { "accelerators", spec.perTask.accelerators }, { "millicores", spec.perTask.millicores },
                { "memory_mb", spec.perTask.memoryMb } } },
        { "placement", placementNames[static_cast<std::size_t>(spec.placement)] },
        { "state", toString(job.state) },
        { "attempt", job.attempt },
        { "reason", job.reason },
        { "submitted_at_ms", toUnixMilliseconds(job.submittedAt) },
        { "started_at_ms", optionalTime(job.startedAt) },
        { "ended_at_ms", optionalTime(job.endedAt) },
        { "forecast_end_ms", optionalTime(job.forecastEnd) },
        { "deadline_ms", optionalTime(spec.deadline) },
        { "workers", job.workers },
    };
}

} // namespace chervilport
