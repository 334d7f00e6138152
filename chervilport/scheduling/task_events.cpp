#include "chervilport/scheduling/attempts.h"
#include "chervilport/scheduling/event_handlers.h"
#include "chervilport/scheduling/quarantine.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstdint>

namespace chervilport {

namespace {

    /// Use, in percent of the declared size, up to which an excess is tolerated as measurement error.
    constexpr std::int64_t toleratedPercent = 110;

    /// Time allowed for a throttle to take effect before a task that still exceeds its size is stopped.
    constexpr log_duration throttleGrace = std::chrono::seconds(30);

    /// A reported task and its records.
    struct located_task {
        std::int32_t worker = 0;
        job_record* job = nullptr;
        task_record* task = nullptr;
    };

    /// Finds the task of a report; members are null if no current attempt holds it.
    std::optional<located_task> locate(schedule_state& state, const std::string& worker, const task_id& reported)
    {
        const auto index = state.workerByName.find(worker);
        if (index == state.workerByName.end())
            return std::nullopt;
        const auto workerState = state.workers[index->second].state;
        if (workerState != worker_state::Ready && workerState != worker_state::Leaving)
            return std::nullopt;
        located_task located { index->second, findActive(state, reported.job), nullptr };
        if (located.job)
            located.task = findTask(*located.job, reported, located.worker);
        return located;
    }

    bool exceeds(std::int64_t use, std::int64_t declared) { return use * 100 > declared * toleratedPercent; }

    /// Throttling of memory and accelerators is not reliable, so a task that continues to use more than it declared is
    /// stopped.
    bool exceedsHardLimit(const resources& use, const resources& declared)
    {
        return use.accelerators > declared.accelerators || exceeds(use.memoryMb, declared.memoryMb);
    }

    void failAttempt(
        schedule_state& state, job_record& job, bool isJobFault, const std::string& reason, std::vector<command>& out)
    {
        if (isJobFault)
            ++job.failures;
        const auto last = job.failures >= state.configuration.policy.maxAttempts;
        stopAttempt(state, job, stop_mode::Kill, last ? job_state::Failed : job_state::Queued, reason, out);
    }

} // namespace

bool handleEvent(schedule_state& state, const task_started& started, std::vector<command>& out)
{
    const auto located = locate(state, started.worker, started.task);
    if (!located)
        return false;
    // A start command that arrives after its stop command may still take effect.
    if (!located->task) {
        addOrphanTask(state, located->worker, started.task, out);
        return false;
    }
    auto& job = *located->job;
    if (located->task->phase != task_phase::Starting)
        return false;
    located->task->phase = task_phase::Running;
    const auto haveAllStarted = std::all_of(job.tasks.begin(), job.tasks.end(),
        [](const task_record& task) { return task.phase == task_phase::Running || task.succeeded; });
    if (!haveAllStarted || job.state != job_state::Starting)
        return false;
    job.startedAt = state.now;
    job.state = job_state::Running;
    job.reason.clear();
    out.emplace_back(job_changed { job.id, job.attempt, job_state::Running, "" });
    return false;
}

bool handleEvent(schedule_state& state, const task_ended& ended, std::vector<command>& out)
{
    const auto located = locate(state, ended.worker, ended.task);
    if (!located)
        return false;
    if (!located->task)
        return releaseOrphanTask(state, located->worker, ended.task);
    auto& job = *located->job;
    located->task->succeeded = ended.succeeded;
    releaseTask(state, job, ended.task.rank);
    if (ended.succeeded) {
        recordSuccess(state, job, located->worker, out);
    } else if (job.state != job_state::Stopping) {
        const auto isJobFault = recordFailure(state, job, located->worker, out);
        failAttempt(state, job, isJobFault, "a task failed on worker " + ended.worker, out);
    }
    finishIfAllEnded(state, ended.task.job, out);
    return true;
}

bool handleEvent(schedule_state& state, const task_stopped& stopped, std::vector<command>& out)
{
    const auto located = locate(state, stopped.worker, stopped.task);
    if (!located)
        return false;
    if (!located->task)
        return releaseOrphanTask(state, located->worker, stopped.task);
    // A worker may stop a task without a command; the gang cannot continue without it.
    auto& job = *located->job;
    located->task->checkpointed = stopped.checkpointed;
    releaseTask(state, job, stopped.task.rank);
    if (job.state != job_state::Stopping)
        failAttempt(state, job, false, "worker " + stopped.worker + " stopped a task", out);
    finishIfAllEnded(state, stopped.task.job, out);
    return true;
}

bool handleEvent(schedule_state& state, const usage_reported& reported, std::vector<command>& out)
{
    const auto located = locate(state, reported.worker, reported.task);
    if (!located || !located->task)
        return false;
    auto& job = *located->job;
    auto& task = *located->task;
    if (job.state == job_state::Stopping || reported.measuredAt < job.placedAt)
        return false;
    const auto& declared = job.spec.perTask;
    const auto tooLarge = exceedsHardLimit(reported.use, declared);
    if (!tooLarge && !exceeds(reported.use.millicores, declared.millicores)) {
        if (task.throttledAt && reported.measuredAt >= *task.throttledAt)
            task.throttleAwaited = false;
        return false;
    }
    if (!task.throttledAt) {
        task.throttledAt = state.now;
        task.throttleAwaited = true;
        out.emplace_back(throttle_task { reported.worker, reported.task, declared });
        return false;
    }
    // Reports arrive with a delay, so only a measurement well after the throttle proves that it had no effect.
    if (!tooLarge || reported.measuredAt < *task.throttledAt + throttleGrace)
        return false;
    failAttempt(state, job, true, "a task uses more than it declared on worker " + reported.worker, out);
    return false;
}

} // namespace chervilport
