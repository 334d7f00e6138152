#include "chervilport/scheduling/decision_core.h"
#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace chervilport {

namespace {

    /// Share of comparable jobs, in thousandths, that end no later than a forecast says.
    constexpr std::int32_t forecastQuantile = 800;

    /// Returns the forecast for the end of a job, or nothing if it has neither an attempt nor a reservation.
    std::optional<log_time> forecastEnd(const schedule_state& state, const job_record& job)
    {
        const auto remaining = remainingQuantile(state, job.spec, progressOf(state, job), forecastQuantile);
        if (job.state == job_state::Starting || job.state == job_state::Running)
            return state.now + remaining;
        const auto reserved = state.reservations.find(job.id);
        if (job.state == job_state::Queued && reserved != state.reservations.end())
            return std::max(state.now, reserved->second.expectedAt) + remaining;
        return std::nullopt;
    }

    job_view viewOf(const schedule_state& state, const job_record& job)
    {
        job_view view { job.id, job.spec, job.state, job.attempt, job.reason, job.submittedAt, job.startedAt,
            job.endedAt, forecastEnd(state, job), {} };
        for (const auto& task : job.tasks)
            view.workers.push_back(state.workers[task.worker].name);
        return view;
    }

    bool isAwaited(const task_record& task)
    {
        return task.phase == task_phase::Starting || task.phase == task_phase::Stopping || task.throttleAwaited;
    }

    command awaitedCommand(const schedule_state& state, const job_record& job, std::size_t rank)
    {
        const auto& task = job.tasks[rank];
        const auto& worker = state.workers[task.worker].name;
        const task_id id { job.id, job.attempt, static_cast<std::int32_t>(rank) };
        if (task.phase == task_phase::Starting)
            return start_task { worker, id, job.spec.perTask, job.hasCheckpoint };
        if (task.phase == task_phase::Stopping)
            return stop_task { worker, id, job.killed ? stop_mode::Kill : stop_mode::Checkpoint };
        return throttle_task { worker, id, job.spec.perTask };
    }

} // namespace

std::vector<command> outstandingCommands(const schedule_state& state)
{
    std::vector<command> commands;
    for (const auto& [id, job] : state.jobs)
        for (std::size_t rank = 0; rank < job.tasks.size(); ++rank)
            if (job.tasks[rank].phase != task_phase::Ended && isAwaited(job.tasks[rank]))
                commands.push_back(awaitedCommand(state, job, rank));
    for (const auto& worker : state.workers)
        for (const auto& orphan : worker.orphans)
            commands.emplace_back(stop_task { worker.name, orphan.task, stop_mode::Kill });
    return commands;
}

std::optional<job_view> findJob(const schedule_state& state, job_id id)
{
    if (const auto job = state.jobs.find(id); job != state.jobs.end())
        return viewOf(state, job->second);
    if (const auto ended = state.ended.find(id); ended != state.ended.end())
        return viewOf(state, ended->second);
    return std::nullopt;
}

std::vector<job_view> listJobs(const schedule_state& state, std::string_view workspace, std::size_t limit)
{
    // Both tables are ordered by id, so merging them from their ends gives the newest jobs first.
    std::vector<job_view> views;
    auto open = state.jobs.rbegin();
    auto ended = state.ended.rbegin();
    while (views.size() < limit && (open != state.jobs.rend() || ended != state.ended.rend())) {
        const auto takeOpen = ended == state.ended.rend() || (open != state.jobs.rend() && open->first > ended->first);
        const auto& job = takeOpen ? (open++)->second : (ended++)->second;
        if (workspace.empty() || job.spec.workspace == workspace)
            views.push_back(viewOf(state, job));
    }
    return views;
}

fleet_view viewFleet(const schedule_state& state)
{
    fleet_view view;
    for (const auto& worker : state.workers) {
        if (worker.state != worker_state::Ready && worker.state != worker_state::Leaving)
            continue;
        ++view.workers;
        view.quarantined += worker.quarantined ? 1 : 0;
        view.accelerators += worker.capacity.accelerators;
        view.freeAccelerators += worker.capacity.accelerators - worker.used.accelerators;
    }
    for (const auto& [id, job] : state.jobs) {
        if (job.state == job_state::Queued) {
            ++view.queuedJobs;
            continue;
        }
        ++view.activeJobs;
        view.activeTasks += static_cast<std::int32_t>(std::count_if(job.tasks.begin(), job.tasks.end(),
            [](const task_record& task) { return task.phase != task_phase::Ended; }));
    }
    return view;
}

std::optional<log_time> nextWakeTime(const schedule_state& state) { return state.wakeAt; }

} // namespace chervilport
