#include "chervilport/batch/batch_codec.h"

#include "chervilport/batch/run_accounting.h"
#include "chervilport/scheduling/field_lists.h"

#include <cmath>

namespace chervilport::batch {

namespace {

    constexpr double thousandths = 1000.0;

    template <typename Archive, typename... Fields> void visitEach(Archive& archive, Fields&... fields)
    {
        using chervilport::visitFields;
        (visitFields(archive, fields), ...);
    }

} // namespace

template <typename Archive> void visitFields(Archive& archive, worker_number& value)
{
    auto wide = static_cast<std::int64_t>(value);
    archive.number(wide);
    value = static_cast<worker_number>(wide);
}

template <typename Archive> void visitFields(Archive& archive, resource_demand& value)
{
    visitEach(archive, value.milliCores, value.memoryMb, value.accelerators);
}

template <typename Archive> void visitFields(Archive& archive, step_spec& value)
{
    visitEach(archive, value.count, value.demand, value.estimateMs, value.dependsOn, value.checkpointing, value.gang,
        value.rackLocal, value.requiredLabel, value.dataRack, value.maxPerWorker, value.speculative, value.longRunning,
        value.image, value.tailLatencyTargetMs, value.usesIdleCpu, value.maxUnavailable);
}

template <typename Archive> void visitFields(Archive& archive, job_request& value)
{
    visitEach(archive, value.id, value.spec, value.steps, value.repeatCount, value.firstMs, value.intervalMs);
}

template <typename Archive> void visitFields(Archive& archive, queue_config& value)
{
    auto stretch = std::llround(value.stretch * thousandths);
    visitEach(archive, value.name, value.host, value.pathPrefix, value.service, value.timeoutMs, value.baseObjectiveMs,
        stretch, value.priority, value.maxAttempts, value.isPublic);
    value.stretch = static_cast<double>(stretch) / thousandths;
}

template <typename Archive> void visitFields(Archive& archive, workspace_quota& value)
{
    visitEach(archive, value.name, value.keys, value.guaranteedAccelerators);
}

template <typename Archive> void visitFields(Archive& archive, site_config& value)
{
    visitEach(
        archive, value.version, value.queues, value.services, value.workspaces, value.maxBodyBytes, value.document);
}

template <typename Archive> void visitFields(Archive& archive, worker_report& value)
{
    visitEach(archive, value.id, value.incarnation, value.address, value.service, value.failureDomain, value.rack,
        value.labels, value.capacity, value.draining, value.sequence, value.drainRemainingMs, value.machine);
}

template <typename Archive> void visitFields(Archive& archive, worker_record& value)
{
    visitEach(archive, value.number, value.report);
}

template <typename Archive> void visitFields(Archive& archive, task_record& value)
{
    visitEach(archive, value.lastRun, value.failures, value.done, value.worker, value.startedMs, value.checkpoint);
}

template <typename Archive> void visitFields(Archive& archive, step_record& value)
{
    visitEach(archive, value.tasks, value.gangFailures, value.lastFailedRun);
}

template <typename Archive> void visitFields(Archive& archive, occurrence_record& value)
{
    visitEach(archive, value.steps);
}

template <typename Archive> void visitFields(Archive& archive, job_record& value)
{
    // The rest of the queue follows the fields of earlier versions of snapshots.
    visitEach(archive, value.request, value.queue.name, value.queue.service, value.workspace, value.queue.priority,
        value.queue.maxAttempts, value.acceptedMs);
    chervilport::visitEnumeration(archive, value.phase, job_phase::Cancelled);
    visitEach(archive, value.endedMs, value.hasStarted, value.occurrencesDone, value.occurrences, value.nextOccurrence);
}

template <typename Archive> void visitFields(Archive& archive, task_ref& value)
{
    visitEach(archive, value.job, value.occurrence, value.step, value.index);
}

template <typename Archive> void visitFields(Archive& archive, run_ref& value)
{
    visitEach(archive, value.task, value.run);
}

template <typename Archive> void visitFields(Archive& archive, job_submitted_by_name& value)
{
    visitEach(archive, value.request, value.queue, value.workspace);
}

template <typename Archive> void visitFields(Archive& archive, job_submitted& value)
{
    visitEach(archive, value.request, value.queue, value.workspace);
}

template <typename Archive> void visitFields(Archive& archive, job_cancelled& value) { visitEach(archive, value.job); }

template <typename Archive> void visitFields(Archive& archive, run_assigned& value)
{
    visitEach(archive, value.run, value.worker);
}

template <typename Archive> void visitFields(Archive& archive, run_ended& value)
{
    visitEach(archive, value.run, value.worker);
    chervilport::visitEnumeration(archive, value.kind, run_end_kind::NotStarted);
    visitEach(archive, value.checkpoint);
}

template <typename Archive> void visitFields(Archive& archive, worker_reported& value)
{
    visitEach(archive, value.report);
}

template <typename Archive> void visitFields(Archive& archive, worker_ended& value)
{
    visitEach(archive, value.worker);
}

template <typename Archive> void visitFields(Archive& archive, incarnation_ended& value)
{
    visitEach(archive, value.worker, value.incarnation);
}

template <typename Archive> void visitFields(Archive& archive, worker_speed_observed& value)
{
    visitEach(archive, value.worker, value.incarnation, value.slownessPercent, value.samples);
}

template <typename Archive> void visitFields(Archive& archive, recorded_speed& value)
{
    visitEach(archive, value.slownessPercent, value.samples);
}

template <typename Archive> void visitFields(Archive& archive, worker_crashed& value)
{
    visitEach(archive, value.worker, value.runs, value.unconfirmedRuns);
}

template <typename Archive> void visitFields(Archive& archive, crash_record& value)
{
    visitEach(archive, value.crashes, value.unconfirmedCrashes, value.runs, value.lastMs);
}

template <typename Archive> void visitFields(Archive& archive, crash_history& value)
{
    visitEach(archive, value.tasks, value.addresses);
}

template <typename Archive> void visitFields(Archive& archive, config_applied& value)
{
    visitEach(archive, value.config);
}

template <typename Archive> void visitFields(Archive& archive, evacuation_changed& value)
{
    visitEach(archive, value.failureDomain, value.isEvacuated);
}

namespace {

    /// Sets the variant to the default value of the alternative with this index.
    template <std::size_t Index = 0> void emplaceAlternative(batch_command& value, std::size_t index)
    {
        if constexpr (Index < std::variant_size_v<batch_command>) {
            if (index == Index)
                value.emplace<Index>();
            else
                emplaceAlternative<Index + 1>(value, index);
        }
    }

} // namespace

template <typename Archive> void visitFields(Archive& archive, batch_command& value)
{
    auto index = static_cast<std::int64_t>(value.index());
    archive.number(index);
    if (index < 0 || static_cast<std::size_t>(index) >= std::variant_size_v<batch_command>)
        throwDecodeError("the command type " + std::to_string(index) + " is unknown");
    if (static_cast<std::size_t>(index) != value.index())
        emplaceAlternative(value, static_cast<std::size_t>(index));
    std::visit([&](auto& content) { visitFields(archive, content); }, value);
}

template <typename Archive> void visitFields(Archive& archive, command_batch& value)
{
    visitEach(archive, value.timeMs, value.commands);
}

namespace {

    /// Visits the known speeds of the workers. They follow the fields of earlier versions of snapshots, so they are not
    /// part of the fields of a worker.
    template <typename Archive> void visitSpeeds(Archive& archive, std::map<worker_number, worker_record>& workers)
    {
        std::map<worker_number, recorded_speed> speeds;
        for (const auto& [number, worker] : workers) {
            if (worker.speed.samples > 0)
                speeds.emplace_hint(speeds.end(), number, worker.speed);
        }
        visitEach(archive, speeds);
        for (const auto& [number, speed] : speeds) {
            const auto found = workers.find(number);
            if (found != workers.end())
                found->second.speed = speed;
        }
    }

    /// Takes what a snapshot of an earlier version does not hold of the queues of its jobs from the configuration.
    void completeQueues(batch_state& state)
    {
        for (auto& [id, job] : state.jobs) {
            auto queue = queueOf(state.config, job);
            queue.service = job.queue.service;
            queue.priority = job.queue.priority;
            queue.maxAttempts = job.queue.maxAttempts;
            job.queue = std::move(queue);
        }
    }

} // namespace

template <typename Archive> void visitFields(Archive& archive, batch_state& value)
{
    visitEach(archive, value.timeMs, value.config, value.workers, value.nextWorker, value.jobs);
    // Snapshots of earlier versions end here or before one of the next conditions.
    if (archive.hasMore())
        visitEach(archive, value.crashes, value.evacuatedDomains);
    if (archive.hasMore())
        visitEach(archive, value.unstartedJobs);
    if (archive.hasMore())
        visitSpeeds(archive, value.workers);
    if (!archive.hasMore()) {
        completeQueues(value);
        return;
    }
    for (auto& [id, job] : value.jobs)
        visitFields(archive, job.queue);
    visitEach(archive, value.cancelledIds);
}

namespace {

    template <typename Value> std::string encode(const Value& value)
    {
        // The field lists serve both directions and therefore need a mutable value.
        auto copy = value;
        field_writer writer;
        visitFields(writer, copy);
        return writer.bytes();
    }

    template <typename Value> Value decode(std::string_view bytes)
    {
        Value value;
        field_reader reader(bytes);
        visitFields(reader, value);
        reader.finish();
        return value;
    }

} // namespace

std::string encodeBatch(const command_batch& batch) { return encode(batch); }

command_batch decodeBatch(std::string_view bytes) { return decode<command_batch>(bytes); }

std::string encodeState(const batch_state& state) { return encode(state); }

batch_state decodeState(std::string_view bytes)
{
    auto state = decode<batch_state>(bytes);
    deriveAccounting(state);
    return state;
}

} // namespace chervilport::batch
