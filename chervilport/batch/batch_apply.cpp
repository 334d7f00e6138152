#include "chervilport/batch/batch_apply.h"

#include "chervilport/batch/pending_jobs.h"
#include "chervilport/batch/run_accounting.h"
#include "chervilport/batch/worker_admission.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <vector>

namespace chervilport::batch {

namespace {

    /// Age of a run of a long-running task from which a crash of its worker no longer counts, in milliseconds.
    constexpr std::int64_t longRunningSuspicionMs = 60'000;

    /// Drops the jobs, and the cancelled ids without a job, that are no longer retained.
    void dropExpiredJobs(batch_state& state)
    {
        std::erase_if(state.jobs, [&](const auto& entry) {
            const auto& job = entry.second;
            return job.phase != job_phase::Active && job.activeRuns == 0
                && job.endedMs + endedJobRetentionMs < state.timeMs;
        });
        std::erase_if(
            state.cancelledIds, [&](const auto& entry) { return entry.second + endedJobRetentionMs < state.timeMs; });
    }

    void dropProgressIfIdle(job_record& job)
    {
        if (job.phase != job_phase::Active && job.activeRuns == 0)
            job.occurrences.clear();
    }

    void endJob(batch_state& state, job_record& job, job_phase phase)
    {
        job.phase = phase;
        job.endedMs = state.timeMs;
        removeCrashes(state.crashes, job.request.id);
        state.unstartedJobs.erase(job.request.id);
        dropProgressIfIdle(job);
    }

    void apply(batch_state& state, const job_submitted& command)
    {
        dropExpiredJobs(state);
        if (state.jobs.contains(command.request.id))
            return;
        job_record job;
        job.request = command.request;
        job.queue = command.queue;
        job.workspace = command.workspace;
        job.acceptedMs = state.timeMs;
        const auto added = state.jobs.emplace(command.request.id, std::move(job)).first;
        if (state.cancelledIds.erase(command.request.id) > 0)
            endJob(state, added->second, job_phase::Cancelled);
    }

    void apply(batch_state& state, const job_submitted_by_name& command)
    {
        queue_config unknown;
        unknown.name = command.queue;
        const auto* const queue = findQueue(state.config, command.queue);
        apply(state, job_submitted { command.request, queue != nullptr ? *queue : unknown, command.workspace });
    }

    void apply(batch_state& state, const job_cancelled& command)
    {
        dropExpiredJobs(state);
        const auto found = state.jobs.find(command.job);
        if (found == state.jobs.end())
            state.cancelledIds.insert_or_assign(command.job, state.timeMs);
        else if (found->second.phase == job_phase::Active)
            endJob(state, found->second, job_phase::Cancelled);
    }

    /// Adds records for the given occurrence and for all earlier ones without a record. Occurrences that wait together
    /// can be assigned in any order, and one before `nextOccurrence` is ready only while it has a record.
    void beginOccurrences(job_record& job, std::uint32_t last)
    {
        for (; job.nextOccurrence <= last; ++job.nextOccurrence)
            job.occurrences.emplace(job.nextOccurrence, makeOccurrence(job.request));
    }

    void apply(batch_state& state, const run_assigned& command)
    {
        const auto found = state.jobs.find(command.run.task.job);
        if (found == state.jobs.end() || found->second.phase != job_phase::Active)
            return;
        auto& job = found->second;
        beginOccurrences(job, command.run.task.occurrence);
        const auto* const task = findTask(state, command.run.task);
        if (task == nullptr || task->done || task->worker != noWorker || command.run.run <= task->lastRun
            || !state.workers.contains(command.worker))
            return;
        job.hasStarted = true;
        beginRun(state, command.run, command.worker);
    }

    void completeIfDone(batch_state& state, job_record& job, std::uint32_t number)
    {
        const auto found = job.occurrences.find(number);
        const bool isDone = std::all_of(found->second.steps.begin(), found->second.steps.end(),
            [](const step_record& step) { return step.doneCount == step.tasks.size(); });
        if (!isDone)
            return;
        job.occurrences.erase(found);
        removeCrashes(state.crashes, job.request.id, number);
        ++job.occurrencesDone;
        if (job.occurrencesDone == occurrencesOf(job.request))
            endJob(state, job, job_phase::Completed);
    }

    void markDone(step_record& step, task_record& task)
    {
        if (task.done)
            return;
        task.done = true;
        ++step.doneCount;
    }

    /// Marks all tasks of a gang as done. Its members finish together, so one `Done` end completes the gang.
    void markGangDone(batch_state& state, const run_ref& run)
    {
        auto& step = *findStep(state, run.task);
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            auto member = run.task;
            member.index = i;
            if (step.tasks[i].worker != noWorker && step.tasks[i].lastRun == run.run)
                releaseRun(state, member);
            markDone(step, step.tasks[i]);
        }
    }

    void setCheckpointOfAllTasks(step_record& step, const std::string& checkpoint)
    {
        for (auto& task : step.tasks)
            task.checkpoint = checkpoint;
    }

    void countFailure(const step_spec& spec, step_record& step, task_record& task, std::uint32_t run)
    {
        if (!spec.gang) {
            ++task.failures;
            return;
        }
        if (step.lastFailedRun == run)
            return;
        step.lastFailedRun = run;
        ++step.gangFailures;
    }

    bool isOutOfAttempts(const batch_state& state, const job_record& job, const step_spec& spec,
        const step_record& step, const task_record& task)
    {
        if (spec.longRunning)
            return false;
        const auto allowed = queueOf(state.config, job).maxAttempts;
        return (spec.gang ? step.gangFailures : task.failures) >= allowed;
    }

    void apply(batch_state& state, const run_ended& command)
    {
        if (!isActive(state, command.run, command.worker))
            return;
        auto& job = state.jobs.at(command.run.task.job);
        const auto& spec = job.request.steps[command.run.task.step];
        auto& step = *findStep(state, command.run.task);
        auto& task = step.tasks[command.run.task.index];
        if (job.phase == job_phase::Active)
            recordUnstarted(state, job, command.kind);
        releaseRun(state, command.run.task);

        // Update the task, or all tasks of a gang.
        if (!command.checkpoint.empty()) {
            task.checkpoint = command.checkpoint;
            if (spec.gang)
                setCheckpointOfAllTasks(step, command.checkpoint);
        }
        if (command.kind == run_end_kind::Done && !spec.longRunning) {
            markDone(step, task);
            if (spec.gang)
                markGangDone(state, command.run);
        }
        if (command.kind == run_end_kind::Failed)
            countFailure(spec, step, task, command.run.run);

        // Update the job.
        if (job.phase != job_phase::Active) {
            dropProgressIfIdle(job);
            return;
        }
        if (command.kind == run_end_kind::Done)
            completeIfDone(state, job, command.run.task.occurrence);
        else if (command.kind == run_end_kind::Failed && isOutOfAttempts(state, job, spec, step, task))
            endJob(state, job, job_phase::Failed);
    }

    void apply(batch_state& state, const worker_ended& command)
    {
        const auto* const worker = findWorker(state, command.worker);
        if (worker == nullptr)
            return;
        for (const auto& run : runsOn(state, command.worker))
            apply(state, run_ended { run, command.worker, run_end_kind::Lost, {} });
        state.numbersById.erase(worker->report.id);
        state.workers.erase(command.worker);
    }

    void apply(batch_state& state, const incarnation_ended& command)
    {
        const auto* const worker = findWorker(state, command.worker);
        if (worker != nullptr && worker->report.incarnation == command.incarnation)
            apply(state, worker_ended { command.worker });
    }

    void apply(batch_state& state, const worker_reported& command)
    {
        if (isOutdated(state, command.report))
            return;
        // Remove the previous worker at the same address and end its runs.
        for (const auto number : replacedWorkers(state, command.report))
            apply(state, worker_ended { number });
        // Update the worker with this id, or add a new one.
        const auto known = state.numbersById.find(command.report.id);
        if (known != state.numbersById.end()) {
            auto& worker = state.workers.at(known->second);
            if (worker.report.incarnation != command.report.incarnation)
                worker.speed = {};
            worker.report = command.report;
            return;
        }
        worker_record worker;
        worker.number = worker_number { state.nextWorker++ };
        worker.report = command.report;
        state.numbersById.emplace(worker.report.id, worker.number);
        state.workers.emplace(worker.number, std::move(worker));
    }

    /// Returns whether a crash of its worker can be the fault of a run. A long-running task that has run for long is
    /// not the likely cause of a crash.
    bool isSuspicious(const batch_state& state, const run_ref& run)
    {
        const auto* const job = findJob(state, run.task.job);
        const auto* const task = findTask(state, run.task);
        if (job == nullptr || task == nullptr || run.run > task->lastRun)
            return false;
        const bool isLongRunning = job->request.steps[run.task.step].longRunning;
        return !isLongRunning || state.timeMs - task->startedMs <= longRunningSuspicionMs;
    }

    /// Returns whether all suspicious runs on the worker, started or not, belong to the job of the first of `runs`.
    bool isOfOneJob(const batch_state& state, worker_number worker, std::span<const run_ref> runs)
    {
        if (runs.empty())
            return false;
        auto candidates = runsOn(state, worker);
        candidates.insert(candidates.end(), runs.begin(), runs.end());
        return std::all_of(candidates.begin(), candidates.end(),
            [&](const run_ref& run) { return run.task.job == runs.front().task.job || !isSuspicious(state, run); });
    }

    /// Returns the suspicious runs of active jobs.
    std::vector<run_ref> suspiciousRuns(const batch_state& state, std::span<const run_ref> runs)
    {
        std::vector<run_ref> suspicious;
        std::copy_if(runs.begin(), runs.end(), std::back_inserter(suspicious), [&](const run_ref& run) {
            const auto* const job = findJob(state, run.task.job);
            return job != nullptr && job->phase == job_phase::Active && isSuspicious(state, run);
        });
        return suspicious;
    }

    void apply(batch_state& state, const worker_crashed& command)
    {
        const auto* const worker = findWorker(state, command.worker);
        const auto runs = suspiciousRuns(state, command.runs);
        const auto unconfirmed = suspiciousRuns(state, command.unconfirmedRuns);
        if (worker == nullptr || (runs.empty() && unconfirmed.empty()))
            return;
        const worker_crash crash { worker->report.address, runs, unconfirmed, isOfOneJob(state, command.worker, runs),
            state.timeMs };
        for (const auto& task : recordCrash(state.crashes, crash)) {
            auto& job = state.jobs.at(task.job);
            if (job.phase == job_phase::Active)
                endJob(state, job, job_phase::Failed);
        }
    }

    void apply(batch_state& state, const worker_speed_observed& command)
    {
        const auto found = state.workers.find(command.worker);
        if (found != state.workers.end() && found->second.report.incarnation == command.incarnation)
            found->second.speed = { command.slownessPercent, command.samples };
    }

    void apply(batch_state& state, const config_applied& command)
    {
        if (command.config.version > state.config.version)
            state.config = command.config;
    }

    void apply(batch_state& state, const evacuation_changed& command)
    {
        if (command.isEvacuated)
            state.evacuatedDomains.try_emplace(command.failureDomain, state.timeMs);
        else
            state.evacuatedDomains.erase(command.failureDomain);
    }

} // namespace

void applyBatch(batch_state& state, const command_batch& batch)
{
    state.timeMs = std::max(state.timeMs, batch.timeMs);
    for (const auto& command : batch.commands)
        std::visit([&](const auto& content) { apply(state, content); }, command);
}

} // namespace chervilport::batch
