#include "chervilport/scheduling/decision_core.h"
#include "chervilport/scheduling/field_lists.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/state_check.h"

#include <cstdint>

namespace chervilport {

template <typename Archive> void visitFields(Archive& archive, worker_state& value)
{
    visitEnumeration(archive, value, worker_state::Lost);
}

template <typename Archive> void visitFields(Archive& archive, task_phase& value)
{
    visitEnumeration(archive, value, task_phase::Ended);
}

template <typename Archive> void visitFields(Archive& archive, orphan_task& value)
{
    visitFields(archive, value.task);
    visitFields(archive, value.use);
}

template <typename Archive> void visitFields(Archive& archive, failure_record& value)
{
    visitFields(archive, value.job);
    visitFields(archive, value.kind);
}

template <typename Archive> void visitFields(Archive& archive, worker_record& value)
{
    visitFields(archive, value.name);
    visitFields(archive, value.incarnation);
    visitFields(archive, value.rack);
    visitFields(archive, value.rackPosition);
    visitFields(archive, value.capacity);
    visitFields(archive, value.state);
    visitFields(archive, value.lostAt);
    visitFields(archive, value.orphans);
    visitFields(archive, value.recentFailures);
    visitFields(archive, value.quarantined);
    visitFields(archive, value.quarantineRound);
    visitFields(archive, value.probeAt);
    visitFields(archive, value.probeJob);
    // The order of the tasks decides the order of commands when the worker is lost.
    visitFields(archive, value.tasks);
}

template <typename Archive> void visitFields(Archive& archive, task_record& value)
{
    visitFields(archive, value.worker);
    visitFields(archive, value.phase);
    visitFields(archive, value.succeeded);
    visitFields(archive, value.checkpointed);
    visitFields(archive, value.throttledAt);
    visitFields(archive, value.throttleAwaited);
}

template <typename Archive> void visitFields(Archive& archive, job_record& value)
{
    visitFields(archive, value.id);
    visitFields(archive, value.spec);
    visitFields(archive, value.state);
    visitFields(archive, value.attempt);
    visitFields(archive, value.reason);
    visitFields(archive, value.submittedAt);
    visitFields(archive, value.queuedAt);
    visitFields(archive, value.placedAt);
    visitFields(archive, value.startedAt);
    visitFields(archive, value.endedAt);
    visitFields(archive, value.tasks);
    visitFields(archive, value.afterStop);
    visitFields(archive, value.killAt);
    visitFields(archive, value.killed);
    visitFields(archive, value.savedRunTime);
    visitFields(archive, value.hasCheckpoint);
    visitFields(archive, value.lostCheckpoints);
    visitFields(archive, value.failures);
    visitFields(archive, value.failedOn);
    visitFields(archive, value.preemptions);
}

template <typename Archive> void visitFields(Archive& archive, reservation& value)
{
    visitFields(archive, value.workers);
    visitFields(archive, value.createdAt);
    visitFields(archive, value.expectedAt);
    visitFields(archive, value.reclaiming);
    visitFields(archive, value.backfilled);
}

template <typename Archive> void visitFields(Archive& archive, witness_instance& value)
{
    visitFields(archive, value.workspace);
    visitFields(archive, value.gang);
    visitFields(archive, value.workers);
}

template <typename Archive> void visitFields(Archive& archive, kind_record& value)
{
    visitFields(archive, value.counts);
    visitFields(archive, value.updatedAt);
    visitFields(archive, value.failedOn);
}

template <typename Archive> void visitFields(Archive& archive, schedule_state& value)
{
    visitFields(archive, value.now);
    visitFields(archive, value.configuration);
    visitFields(archive, value.workers);
    visitFields(archive, value.nextJob);
    visitFields(archive, value.jobs);
    visitFields(archive, value.ended);
    visitFields(archive, value.endedOrder);
    visitFields(archive, value.clientKeys);
    visitFields(archive, value.reservations);
    visitFields(archive, value.witness);
    visitFields(archive, value.reportedShortfall);
    visitFields(archive, value.kinds);
    visitFields(archive, value.wakeAt);
    visitFields(archive, value.reviewAt);
}

namespace {

    /// Version of the format; the first field.
    constexpr std::int64_t stateFormat = 1;

} // namespace

std::string encodeState(const schedule_state& state)
{
    field_writer writer;
    auto format = stateFormat;
    writer.number(format);
    // Readers and writers share the field lists, which take mutable values; a writer changes none of them.
    visitFields(writer, const_cast<schedule_state&>(state));
    return writer.bytes();
}

schedule_state_ptr decodeState(std::string_view bytes)
{
    field_reader reader(bytes);
    std::int64_t format = 0;
    reader.number(format);
    if (format != stateFormat)
        throwDecodeError("state format version " + std::to_string(format) + " is unknown");
    schedule_state_ptr state(new schedule_state);
    visitFields(reader, *state);
    reader.finish();
    checkState(*state);
    rebuildDerived(*state);
    return state;
}

} // namespace chervilport
