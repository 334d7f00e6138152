#include "chervilport/control/lost_work.h"

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/delay_cost.h"
#include "chervilport/batch/run_accounting.h"
#include "chervilport/metrics/metric_registry.h"

#include <algorithm>
#include <cmath>

namespace chervilport {

namespace {

    /// Time between two checkpoints of a task, in milliseconds.
    constexpr std::int64_t checkpointIntervalMs = 1'000;

} // namespace

void countLostWork(const batch::batch_state& state, const batch::run_ref& run, loss_cause cause, std::int64_t timeMs,
    metric_registry& metrics)
{
    const auto* const job = batch::findJob(state, run.task.job);
    const auto* const task = batch::findTask(state, run.task);
    if (job == nullptr || task == nullptr)
        return;
    const auto& spec = job->request.steps[run.task.step];
    if (spec.longRunning)
        return;
    const auto elapsedMs = std::max<std::int64_t>(timeMs - task->startedMs, 0);
    const auto lostMs = spec.checkpointing ? std::min(elapsedMs, checkpointIntervalMs) : elapsedMs;
    const auto lost = std::llround(batch::coreSeconds(spec, static_cast<double>(lostMs)));
    metrics.increment("chervilport_core_seconds_lost_total",
        { { "cause", std::string(nameOf(cause)) }, { "queue", job->queue.name } }, static_cast<std::uint64_t>(lost));
}

void countLostWork(const batch::batch_state& state, const batch::command_batch& batch,
    const std::function<loss_cause(const batch::run_ended&)>& lossCauseOf, metric_registry& metrics)
{
    for (const auto& command : batch.commands) {
        const auto* const ended = std::get_if<batch::run_ended>(&command);
        const bool isLoss = ended != nullptr && ended->kind != batch::run_end_kind::Done
            && batch::isActive(state, ended->run, ended->worker);
        if (isLoss)
            countLostWork(state, ended->run, lossCauseOf(*ended), batch.timeMs, metrics);
    }
}

} // namespace chervilport
