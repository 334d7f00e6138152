#include "chervilport/control/batch_log.h"

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_accounting.h"
#include "chervilport/batch/worker_admission.h"
#include "chervilport/control/lost_work.h"
#include "chervilport/logging/event_log.h"
#include "chervilport/metrics/metric_registry.h"

#include <variant>

namespace chervilport {

namespace {

    constexpr double msPerSecond = 1'000.0;

    void logEndedWorker(const batch::batch_state& state, const batch::worker_record& worker, const std::string& reason,
        std::int64_t timeMs, metric_registry& metrics)
    {
        const auto& report = worker.report;
        const char* const draining = report.draining ? "true" : "false";
        logEvent("worker_ended",
            { { "worker", report.id }, { "address", report.address }, { "reason", reason }, { "draining", draining },
                { "runs", worker.activeRuns } },
            log_level::Warning);
        metrics.increment("chervilport_workers_ended_total", { { "draining", draining } });
        for (const auto& run : batch::runsOn(state, worker.number)) {
            const auto ageMs = timeMs - batch::findTask(state, run.task)->startedMs;
            logEvent("run_ended",
                { { "run", batch::describe(run) }, { "worker", report.id },
                    { "how", batch::nameOf(batch::run_end_kind::Lost) }, { "cause", nameOf(loss_cause::WorkerEnded) },
                    { "reason", "worker ended" }, { "age_ms", ageMs }, { "beside", worker.activeRuns - 1 } });
            countLostWork(state, run, loss_cause::WorkerEnded, timeMs, metrics);
            metrics.increment(
                "chervilport_runs_ended_total", { { "how", std::string(batch::nameOf(batch::run_end_kind::Lost)) } });
        }
    }

    /// Returns the worker that a command removes, or null.
    const batch::worker_record* removedWorker(const batch::batch_state& state, const batch::batch_command& command)
    {
        if (const auto* const removed = std::get_if<batch::worker_ended>(&command))
            return batch::findWorker(state, removed->worker);
        const auto* const ended = std::get_if<batch::incarnation_ended>(&command);
        const auto* const worker = ended == nullptr ? nullptr : batch::findWorker(state, ended->worker);
        const bool isCurrent = worker != nullptr && worker->report.incarnation == ended->incarnation;
        return isCurrent ? worker : nullptr;
    }

    void logCrashedRun(const batch::batch_state& state, const batch::run_ref& run, bool isConfirmed)
    {
        const auto* const job = batch::findJob(state, run.task.job);
        const auto* const record = batch::findCrashes(state.crashes, run.task);
        // The records of a job are removed when it ends.
        const bool isGivenUp = record == nullptr && job != nullptr && job->phase == batch::job_phase::Failed;
        if (record == nullptr && !isGivenUp)
            return;
        logEvent("crash_counted",
            { { "run", batch::describe(run) }, { "confirmed", isConfirmed ? "true" : "false" },
                { "crashes", record == nullptr ? 0 : record->crashes },
                { "unconfirmed", record == nullptr ? 0 : record->unconfirmedCrashes },
                { "outcome", isGivenUp ? "given_up" : "retry" } },
            log_level::Warning);
    }

    void logCrashes(const batch::batch_state& state, const batch::command_batch& batch, metric_registry& metrics)
    {
        for (const auto& command : batch.commands) {
            const auto* const crashed = std::get_if<batch::worker_crashed>(&command);
            if (crashed == nullptr)
                continue;
            metrics.increment("chervilport_worker_crashes_total", {});
            for (const auto& run : crashed->runs)
                logCrashedRun(state, run, true);
            for (const auto& run : crashed->unconfirmedRuns)
                logCrashedRun(state, run, false);
        }
    }

} // namespace

std::set<std::string> jobsWithEndedRuns(const batch::command_batch& batch)
{
    std::set<std::string> jobs;
    for (const auto& command : batch.commands) {
        if (const auto* const ended = std::get_if<batch::run_ended>(&command))
            jobs.insert(ended->run.task.job);
        const auto* const crashed = std::get_if<batch::worker_crashed>(&command);
        if (crashed == nullptr)
            continue;
        for (const auto& run : crashed->runs)
            jobs.insert(run.task.job);
        for (const auto& run : crashed->unconfirmedRuns)
            jobs.insert(run.task.job);
    }
    return jobs;
}

void logEndedWorkers(const batch::batch_state& state, const batch::command_batch& batch, metric_registry& metrics)
{
    for (const auto& command : batch.commands) {
        if (const auto* const worker = removedWorker(state, command))
            logEndedWorker(state, *worker, "removed", batch.timeMs, metrics);
        const auto* const reported = std::get_if<batch::worker_reported>(&command);
        if (reported == nullptr || batch::isOutdated(state, reported->report))
            continue;
        for (const auto number : batch::replacedWorkers(state, reported->report))
            logEndedWorker(
                state, state.workers.at(number), "replaced by " + reported->report.id, batch.timeMs, metrics);
    }
}

void logEndedJobs(const batch::batch_state& state, const batch::command_batch& batch, metric_registry& metrics)
{
    logCrashes(state, batch, metrics);
    for (const auto& id : jobsWithEndedRuns(batch)) {
        const auto* const job = batch::findJob(state, id);
        if (job == nullptr || job->phase == batch::job_phase::Active || job->endedMs != state.timeMs)
            continue;
        logEvent("job_ended",
            { { "job", id }, { "queue", job->queue.name }, { "phase", batch::nameOf(job->phase) },
                { "age_ms", job->endedMs - job->acceptedMs } });
        metrics.observe("chervilport_job_seconds", { { "queue", job->queue.name }, { "workspace", job->workspace } },
            static_cast<double>(job->endedMs - job->acceptedMs) / msPerSecond);
    }
}

} // namespace chervilport
