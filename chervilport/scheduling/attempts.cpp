#include "chervilport/scheduling/attempts.h"

#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/reservations.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace chervilport {

namespace {

    task_id taskIdOf(const job_record& job, std::size_t rank)
    {
        return { job.id, job.attempt, static_cast<std::int32_t>(rank) };
    }

    void changeState(job_record& job, job_state next, const std::string& reason, std::vector<command>& out)
    {
        job.state = next;
        job.reason = reason;
        out.emplace_back(job_changed { job.id, job.attempt, next, reason });
    }

    /// Adds a task's demand to, or with sign -1 removes it from, all derived sums.
    void adjustUse(schedule_state& state, const job_record& job, std::int32_t worker, std::int32_t sign)
    {
        const auto change = job.spec.perTask * sign;
        state.workers[worker].used = state.workers[worker].used + change;
        state.heldByWorkspace[job.spec.workspace] += change.accelerators;
        state.heldByTeam[{ job.spec.workspace, job.spec.team }] += change.accelerators;
        if (job.spec.preemptible)
            return;
        auto& nonPreemptible = state.nonPreemptibleUse[workspaceIndex(state, job.spec.workspace)][worker];
        nonPreemptible = nonPreemptible + change;
    }

    void removeOldestEnded(schedule_state& state)
    {
        while (state.endedOrder.size() > maxEndedJobs) {
            const auto record = state.ended.find(state.endedOrder.front());
            state.endedOrder.pop_front();
            if (record == state.ended.end())
                continue;
            const auto& spec = record->second.spec;
            if (!spec.clientKey.empty())
                state.clientKeys.erase({ spec.workspace, spec.clientKey });
            state.ended.erase(record);
        }
    }

    /// Saves the progress of an attempt if every task wrote a checkpoint or succeeded.
    void saveProgress(const schedule_state& state, job_record& job)
    {
        const auto areAllSaved = std::all_of(job.tasks.begin(), job.tasks.end(),
            [](const task_record& task) { return task.checkpointed || task.succeeded; });
        if (!areAllSaved || !job.startedAt)
            return;
        job.savedRunTime += state.now - *job.startedAt;
        job.hasCheckpoint = true;
    }

    void finishAttempt(schedule_state& state, job_record& job, std::vector<command>& out)
    {
        const auto succeeded
            = std::all_of(job.tasks.begin(), job.tasks.end(), [](const task_record& task) { return task.succeeded; });
        if (succeeded && (job.state != job_state::Stopping || job.afterStop == job_state::Queued)) {
            if (job.startedAt)
                observeRunTime(state, job.spec, job.savedRunTime + (state.now - *job.startedAt));
            endJob(state, job.id, job_state::Succeeded, "", out);
            return;
        }
        if (job.afterStop != job_state::Queued) {
            endJob(state, job.id, job.afterStop, job.reason, out);
            return;
        }
        saveProgress(state, job);
        job.tasks.clear();
        job.startedAt.reset();
        job.killAt.reset();
        job.killed = false;
        job.queuedAt = state.now;
        changeState(job, job_state::Queued, job.reason, out);
    }

} // namespace

void startAttempt(
    schedule_state& state, job_record& job, std::span<const std::int32_t> workers, std::vector<command>& out)
{
    assert(job.state == job_state::Queued && job.tasks.empty());
    assert(workers.size() == static_cast<std::size_t>(job.spec.taskCount));
    ++job.attempt;
    job.placedAt = state.now;
    job.startedAt.reset();
    job.afterStop = job_state::Queued;
    job.killed = false;
    job.killAt.reset();
    state.reservations.erase(job.id);
    updateReservationsOnStart(state, job, workers);
    changeState(job, job_state::Starting, "", out);
    for (std::size_t rank = 0; rank < workers.size(); ++rank) {
        auto& worker = state.workers[workers[rank]];
        job.tasks.push_back({ workers[rank] });
        adjustUse(state, job, workers[rank], 1);
        assert(fits(worker.used, worker.capacity));
        worker.tasks.emplace_back(job.id, static_cast<std::int32_t>(rank));
        out.emplace_back(start_task { worker.name, taskIdOf(job, rank), job.spec.perTask, job.hasCheckpoint });
    }
}

void stopAttempt(schedule_state& state, job_record& job, stop_mode mode, job_state afterStop, const std::string& reason,
    std::vector<command>& out, log_duration timeout)
{
    const auto stopping = job.state == job_state::Stopping;
    if (stopping && job.afterStop != job_state::Queued)
        return;
    if (stopping && afterStop == job_state::Queued)
        return;
    job.afterStop = afterStop;
    if (stopping) {
        job.reason = reason;
        if (mode == stop_mode::Kill)
            killAttempt(state, job, out);
        return;
    }
    job.killed = mode == stop_mode::Kill;
    if (!job.killed)
        job.killAt = state.now + timeout;
    changeState(job, job_state::Stopping, reason, out);
    for (std::size_t rank = 0; rank < job.tasks.size(); ++rank) {
        auto& task = job.tasks[rank];
        if (task.phase == task_phase::Ended)
            continue;
        task.phase = task_phase::Stopping;
        out.emplace_back(stop_task { state.workers[task.worker].name, taskIdOf(job, rank), mode });
    }
}

void killAttempt(schedule_state& state, job_record& job, std::vector<command>& out)
{
    if (job.killed)
        return;
    if (job.killAt && *job.killAt <= state.now)
        ++job.lostCheckpoints;
    job.killAt.reset();
    job.killed = true;
    for (std::size_t rank = 0; rank < job.tasks.size(); ++rank)
        if (job.tasks[rank].phase == task_phase::Stopping)
            out.emplace_back(
                stop_task { state.workers[job.tasks[rank].worker].name, taskIdOf(job, rank), stop_mode::Kill });
}

void releaseTask(schedule_state& state, job_record& job, std::int32_t rank)
{
    auto& task = job.tasks[rank];
    assert(task.phase != task_phase::Ended);
    task.phase = task_phase::Ended;
    task.throttleAwaited = false;
    adjustUse(state, job, task.worker, -1);
    std::erase(state.workers[task.worker].tasks, std::pair(job.id, rank));
}

void finishIfAllEnded(schedule_state& state, job_id id, std::vector<command>& out)
{
    auto* job = findActive(state, id);
    if (!job || job->tasks.empty())
        return;
    const auto haveAllEnded = std::all_of(
        job->tasks.begin(), job->tasks.end(), [](const task_record& task) { return task.phase == task_phase::Ended; });
    if (haveAllEnded)
        finishAttempt(state, *job, out);
}

void endJob(schedule_state& state, job_id id, job_state final, const std::string& reason, std::vector<command>& out)
{
    assert(isFinal(final));
    auto node = state.jobs.extract(id);
    auto& job = node.mapped();
    job.tasks.clear();
    job.tasks.shrink_to_fit();
    job.failedOn.clear();
    job.failedOn.shrink_to_fit();
    job.killAt.reset();
    job.endedAt = state.now;
    state.reservations.erase(id);
    changeState(job, final, reason, out);
    state.ended.insert(std::move(node));
    state.endedOrder.push_back(id);
    removeOldestEnded(state);
}

task_record* findTask(job_record& job, const task_id& reported, std::int32_t worker)
{
    if (reported.attempt != job.attempt || reported.rank < 0
        || static_cast<std::size_t>(reported.rank) >= job.tasks.size())
        return nullptr;
    auto& task = job.tasks[reported.rank];
    return task.worker == worker && task.phase != task_phase::Ended ? &task : nullptr;
}

void addOrphanTask(schedule_state& state, std::int32_t workerIndex, const task_id& task, std::vector<command>& out)
{
    auto& worker = state.workers[workerIndex];
    const auto isKnown = std::any_of(
        worker.orphans.begin(), worker.orphans.end(), [&](const orphan_task& other) { return other.task == task; });
    if (!isKnown) {
        // A task of an unknown job may use anything, so it blocks the whole worker until its end is confirmed.
        auto use = worker.capacity;
        if (const auto* job = findActive(state, task.job))
            use = job->spec.perTask;
        else if (const auto ended = state.ended.find(task.job); ended != state.ended.end())
            use = ended->second.spec.perTask;
        worker.orphans.push_back({ task, use });
        worker.used = worker.used + use;
    }
    out.emplace_back(stop_task { worker.name, task, stop_mode::Kill });
}

bool releaseOrphanTask(schedule_state& state, std::int32_t workerIndex, const task_id& task)
{
    auto& worker = state.workers[workerIndex];
    const auto found = std::find_if(
        worker.orphans.begin(), worker.orphans.end(), [&](const orphan_task& other) { return other.task == task; });
    if (found == worker.orphans.end())
        return false;
    worker.used = worker.used - found->use;
    worker.orphans.erase(found);
    return true;
}

bool hasOrphanTask(const schedule_state& state, job_id id)
{
    return std::any_of(state.workers.begin(), state.workers.end(), [&](const worker_record& worker) {
        return std::any_of(worker.orphans.begin(), worker.orphans.end(),
            [&](const orphan_task& orphan) { return orphan.task.job == id; });
    });
}

} // namespace chervilport
