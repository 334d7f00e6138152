#include "chervilport/batch/run_accounting.h"

#include <cassert>
#include <utility>

namespace chervilport::batch {

namespace {

    void charge(batch_state& state, worker_number number, const step_spec& step, int times)
    {
        const auto found = state.workers.find(number);
        // The worker may have been removed before the run was released.
        if (found == state.workers.end())
            return;
        addScaled(found->second.used, chargedDemand(step), times);
        found->second.activeRuns += times;
    }

    void deriveStep(batch_state& state, job_record& job, const step_spec& spec, step_record& step)
    {
        step.doneCount = 0;
        step.activeCount = 0;
        for (const auto& task : step.tasks) {
            if (task.done)
                ++step.doneCount;
            if (task.worker == noWorker)
                continue;
            ++step.activeCount;
            ++job.activeRuns;
            charge(state, task.worker, spec, 1);
        }
    }

} // namespace

void deriveAccounting(batch_state& state)
{
    for (auto& [number, worker] : state.workers) {
        worker.used = {};
        worker.activeRuns = 0;
        state.numbersById[worker.report.id] = number;
    }
    for (auto& [id, job] : state.jobs) {
        job.activeRuns = 0;
        for (auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
                deriveStep(state, job, job.request.steps[i], occurrence.steps[i]);
        }
    }
}

occurrence_record makeOccurrence(const job_request& request)
{
    occurrence_record made;
    made.steps.resize(request.steps.size());
    for (std::size_t i = 0; i < request.steps.size(); ++i)
        made.steps[i].tasks.resize(request.steps[i].count);
    return made;
}

const step_record* findStep(const batch_state& state, const task_ref& task)
{
    const auto* const job = findJob(state, task.job);
    if (job == nullptr)
        return nullptr;
    const auto occurrence = job->occurrences.find(task.occurrence);
    if (occurrence == job->occurrences.end() || task.step >= occurrence->second.steps.size())
        return nullptr;
    return &occurrence->second.steps[task.step];
}

step_record* findStep(batch_state& state, const task_ref& task)
{
    return const_cast<step_record*>(findStep(std::as_const(state), task));
}

const task_record* findTask(const batch_state& state, const task_ref& task)
{
    const auto* const step = findStep(state, task);
    return step != nullptr && task.index < step->tasks.size() ? &step->tasks[task.index] : nullptr;
}

bool isActive(const batch_state& state, const run_ref& run, worker_number worker)
{
    const auto* const task = findTask(state, run.task);
    return task != nullptr && task->worker == worker && worker != noWorker && task->lastRun == run.run;
}

std::vector<run_ref> runsOn(const batch_state& state, worker_number worker)
{
    std::vector<run_ref> found;
    for (const auto& [id, job] : state.jobs) {
        if (job.activeRuns == 0)
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].worker == worker)
                        found.push_back({ { id, number, step, i }, tasks[i].lastRun });
                }
            }
        }
    }
    return found;
}

void beginRun(batch_state& state, const run_ref& run, worker_number worker)
{
    auto& job = state.jobs.at(run.task.job);
    auto& step = *findStep(state, run.task);
    auto& task = step.tasks.at(run.task.index);
    assert(task.worker == noWorker && !task.done);
    task.lastRun = run.run;
    task.worker = worker;
    task.startedMs = state.timeMs;
    ++step.activeCount;
    ++job.activeRuns;
    charge(state, worker, job.request.steps[run.task.step], 1);
}

void releaseRun(batch_state& state, const task_ref& ref)
{
    auto& job = state.jobs.at(ref.job);
    auto& step = *findStep(state, ref);
    auto& task = step.tasks.at(ref.index);
    assert(task.worker != noWorker);
    charge(state, task.worker, job.request.steps[ref.step], -1);
    task.worker = noWorker;
    --step.activeCount;
    --job.activeRuns;
}

} // namespace chervilport::batch
