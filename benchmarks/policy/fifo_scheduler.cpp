#include "benchmarks/policy/fifo_scheduler.h"

#include "benchmarks/policy/fifo_queue.h"

#include <algorithm>
#include <variant>

namespace chervilport::policy_benchmark {

namespace {

    using commands_out = std::vector<command>;
    using phase = fifo_job::task_phase;

    job_id idOf(std::size_t index) { return static_cast<job_id>(index + 1); }

    void changeState(fifo_state& state, std::size_t index, job_state next, commands_out& commands)
    {
        auto& job = state.jobs[index];
        job.state = next;
        commands.emplace_back(job_changed { idOf(index), job.attempt, next, {} });
    }

    bool hasAttemptEnded(const fifo_job& job)
    {
        return std::all_of(job.tasks.begin(), job.tasks.end(), [](phase task) { return task == phase::Ended; });
    }

    // Sets the next state of a job after all tasks of its attempt have ended.
    void closeAttempt(fifo_state& state, std::size_t index, commands_out& commands)
    {
        auto& job = state.jobs[index];
        state.active.erase(index);
        if (job.isCancelled) {
            changeState(state, index, job_state::Cancelled, commands);
        } else if (!job.hasFailed) {
            changeState(state, index, job_state::Succeeded, commands);
        } else if (static_cast<std::int32_t>(job.excluded.size()) >= state.policy.maxAttempts) {
            changeState(state, index, job_state::Failed, commands);
        } else {
            changeState(state, index, job_state::Queued, commands);
            state.queue.insert(index);
        }
    }

    void stopRemainingTasks(fifo_state& state, std::size_t index, commands_out& commands)
    {
        auto& job = state.jobs[index];
        if (job.state == job_state::Stopping || hasAttemptEnded(job))
            return;
        changeState(state, index, job_state::Stopping, commands);
        for (std::size_t rank = 0; rank < job.tasks.size(); ++rank) {
            if (job.tasks[rank] != phase::Ended)
                commands.emplace_back(stop_task { state.workerNames[job.workers[rank]],
                    { idOf(index), job.attempt, static_cast<std::int32_t>(rank) }, stop_mode::Kill });
        }
    }

    // Returns the job of a reported task, or nothing if the report is for an earlier attempt.
    std::optional<std::size_t> findActive(const fifo_state& state, const task_id& task)
    {
        const auto index = static_cast<std::size_t>(task.job) - 1;
        if (index >= state.jobs.size() || state.jobs[index].attempt != task.attempt || !state.active.contains(index))
            return std::nullopt;
        return index;
    }

    void releaseTask(fifo_state& state, std::size_t index, std::size_t rank)
    {
        auto& job = state.jobs[index];
        if (job.tasks[rank] == phase::Ended)
            return;
        job.tasks[rank] = phase::Ended;
        auto& worker = state.fleet.workers[job.workers[rank]];
        worker.free = add(worker.free, job.spec.perTask);
    }

    void removeWorkerTasks(fifo_state& state, std::size_t worker, log_time now, commands_out& commands)
    {
        const auto active = state.active;
        for (const auto index : active) {
            auto& job = state.jobs[index];
            bool isAffected = false;
            for (std::size_t rank = 0; rank < job.tasks.size(); ++rank) {
                if (job.workers[rank] != worker || job.tasks[rank] == phase::Ended)
                    continue;
                releaseTask(state, index, rank);
                isAffected = true;
            }
            if (!isAffected)
                continue;
            job.hasFailed = true;
            stopRemainingTasks(state, index, commands);
            if (hasAttemptEnded(job))
                closeAttempt(state, index, commands);
        }
        state.fleet.workers[worker].free = {};
        startWaitingJobs(state, now, commands);
    }

    void apply(fifo_state& state, const configuration_changed& input, log_time, commands_out&)
    {
        state.policy = input.policy;
    }

    void apply(fifo_state& state, const job_submitted& input, log_time now, commands_out& commands)
    {
        const auto& spec = input.spec;
        if (!placeFirstFit(state.fleetCapacity, demandOf(spec))) {
            commands.emplace_back(job_refused { spec.workspace, spec.clientKey, error_kind::Infeasible,
                "the gang does not fit the capacity of the fleet" });
            return;
        }
        state.jobs.push_back({ .spec = spec });
        const auto index = state.jobs.size() - 1;
        state.queue.insert(index);
        commands.emplace_back(job_accepted { idOf(index), spec.workspace, spec.clientKey });
        startWaitingJobs(state, now, commands);
    }

    void apply(fifo_state& state, const job_cancelled& input, log_time now, commands_out& commands)
    {
        const auto index = static_cast<std::size_t>(input.job) - 1;
        if (index >= state.jobs.size())
            return;
        if (state.queue.erase(index) > 0) {
            changeState(state, index, job_state::Cancelled, commands);
        } else if (state.active.contains(index)) {
            state.jobs[index].isCancelled = true;
            stopRemainingTasks(state, index, commands);
        }
        startWaitingJobs(state, now, commands);
    }

    void apply(fifo_state& state, const worker_joined& input, log_time now, commands_out& commands)
    {
        const auto known = state.workerIndex.find(input.worker);
        if (known == state.workerIndex.end()) {
            state.workerIndex.emplace(input.worker, state.workerNames.size());
            state.workerNames.push_back(input.worker);
            state.fleet.workers.push_back({ input.capacity, input.rackPosition });
            state.fleetCapacity.workers.push_back({ input.capacity, input.rackPosition });
        } else {
            // A new incarnation has none of the tasks of the old one.
            removeWorkerTasks(state, known->second, now, commands);
            state.fleet.workers[known->second].free = input.capacity;
        }
        startWaitingJobs(state, now, commands);
    }

    void apply(fifo_state& state, const worker_lost& input, log_time now, commands_out& commands)
    {
        const auto known = state.workerIndex.find(input.worker);
        if (known != state.workerIndex.end())
            removeWorkerTasks(state, known->second, now, commands);
    }

    void apply(fifo_state& state, const task_started& input, log_time, commands_out& commands)
    {
        const auto index = findActive(state, input.task);
        if (!index)
            return;
        auto& job = state.jobs[*index];
        auto& task = job.tasks.at(static_cast<std::size_t>(input.task.rank));
        if (task != phase::Starting)
            return;
        task = phase::Running;
        const bool isGangRunning
            = std::all_of(job.tasks.begin(), job.tasks.end(), [](phase other) { return other == phase::Running; });
        if (isGangRunning)
            changeState(state, *index, job_state::Running, commands);
    }

    void apply(fifo_state& state, const task_ended& input, log_time now, commands_out& commands)
    {
        const auto index = findActive(state, input.task);
        if (!index)
            return;
        const auto rank = static_cast<std::size_t>(input.task.rank);
        auto& job = state.jobs[*index];
        releaseTask(state, *index, rank);
        if (!input.succeeded) {
            job.hasFailed = true;
            const auto worker = job.workers.at(rank);
            // If several tasks of an attempt fail, only the worker of the first one is excluded: one worker is enough
            // to avoid the same placement.
            if (job.state != job_state::Stopping)
                job.excluded.push_back(worker);
            stopRemainingTasks(state, *index, commands);
        }
        if (hasAttemptEnded(job)) {
            closeAttempt(state, *index, commands);
            startWaitingJobs(state, now, commands);
        }
    }

    void apply(fifo_state& state, const task_stopped& input, log_time now, commands_out& commands)
    {
        const auto index = findActive(state, input.task);
        if (!index)
            return;
        releaseTask(state, *index, static_cast<std::size_t>(input.task.rank));
        if (hasAttemptEnded(state.jobs[*index])) {
            closeAttempt(state, *index, commands);
            startWaitingJobs(state, now, commands);
        }
    }

    void apply(fifo_state&, const worker_leaving&, log_time, commands_out&) { }
    void apply(fifo_state&, const usage_reported&, log_time, commands_out&) { }
    void apply(fifo_state&, const timer_fired&, log_time, commands_out&) { }

} // namespace

std::vector<command> applyFifoEvent(fifo_state& state, const event& input, log_time now)
{
    commands_out commands;
    std::visit([&](const auto& alternative) { apply(state, alternative, now, commands); }, input);
    return commands;
}

} // namespace chervilport::policy_benchmark
