#include "chervilport/instance/worker_commands.h"

#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    nlohmann::json limitsToJson(const resources& limits)
    {
        return { { "accelerators", limits.accelerators }, { "millicores", limits.millicores },
            { "memory_mb", limits.memoryMb } };
    }

    nlohmann::json& batchOf(std::map<std::string, nlohmann::json>& batches, const std::string& worker, const char* list)
    {
        return batches[worker][list];
    }

    void addStart(
        std::map<std::string, nlohmann::json>& batches, const start_task& start, const schedule_state& schedule)
    {
        auto item = taskToJson(start.task);
        item["limits"] = limitsToJson(start.limits);
        item["from_checkpoint"] = start.fromCheckpoint;
        if (const auto job = findJob(schedule, start.task.job)) {
            item["kind"] = job->spec.kind;
            item["payload"] = job->spec.payload;
            item["tasks"] = job->spec.taskCount;
        }
        batchOf(batches, start.worker, "start").push_back(std::move(item));
    }

} // namespace

nlohmann::json taskToJson(const task_id& task)
{
    return { { "job", static_cast<std::uint64_t>(task.job) }, { "attempt", task.attempt }, { "rank", task.rank } };
}

std::map<std::string, std::string> batchWorkerCommands(
    std::span<const command> commands, const schedule_state& schedule, const batch_position& position)
{
    std::map<std::string, nlohmann::json> batches;
    for (const auto& each : commands) {
        if (const auto* const start = std::get_if<start_task>(&each)) {
            addStart(batches, *start, schedule);
        } else if (const auto* const stop = std::get_if<stop_task>(&each)) {
            auto item = taskToJson(stop->task);
            item["mode"] = stop->mode == stop_mode::Checkpoint ? "checkpoint" : "kill";
            batchOf(batches, stop->worker, "stop").push_back(std::move(item));
        } else if (const auto* const throttle = std::get_if<throttle_task>(&each)) {
            auto item = taskToJson(throttle->task);
            item["limits"] = limitsToJson(throttle->limits);
            batchOf(batches, throttle->worker, "throttle").push_back(std::move(item));
        }
    }
    std::map<std::string, std::string> bodies;
    for (auto& [worker, batch] : batches) {
        batch["epoch"] = position.epoch;
        batch["sequence"] = position.sequence;
        if (const auto known = findWorker(schedule, worker))
            batch["incarnation"] = known->incarnation;
        bodies[worker] = batch.dump();
    }
    return bodies;
}

} // namespace chervilport
