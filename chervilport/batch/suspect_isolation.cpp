#include "chervilport/batch/suspect_isolation.h"

#include "chervilport/batch/run_accounting.h"

#include <algorithm>
#include <utility>

namespace chervilport::batch {

namespace {

    /// Age from which a run of a suspect task counts as survived, in milliseconds: tasks that crash their worker do so
    /// while they start.
    constexpr std::int64_t probationMs = 1'000;
    /// Time after a crash for which a suspect task waits for a worker without other runs, in milliseconds. It is short
    /// enough for tasks of an idle pool to start within 3 s.
    constexpr std::int64_t emptyWorkerWaitMs = 2'000;

    /// Progress of a suspect task since its last crash.
    enum class suspect_status : std::uint8_t {
        /// It has no active run.
        Waiting,
        /// Its run is young, or its worker does not respond.
        OnProbation,
        /// It is done, or its run has survived the probation.
        Survived,
    };

    /// Returns the later of the clock and the time of the state, so that a clock that steps back prolongs no wait.
    std::int64_t latestMs(const batch_state& state, std::int64_t nowMs) { return std::max(nowMs, state.timeMs); }

    bool isUsable(const worker_slots& slots, worker_number worker)
    {
        const auto* const slot = findSlot(slots, worker);
        return slot != nullptr && slot->isUsable;
    }

    suspect_status statusOf(const task_record& task, const worker_slots& slots, std::int64_t nowMs)
    {
        if (task.done)
            return suspect_status::Survived;
        if (task.worker == noWorker)
            return suspect_status::Waiting;
        const bool isYoung = nowMs - task.startedMs < probationMs;
        return isYoung || !isUsable(slots, task.worker) ? suspect_status::OnProbation : suspect_status::Survived;
    }

    task_ref taskOf(const ready_step& ready, std::uint32_t index)
    {
        return { ready.job->request.id, ready.occurrence, ready.step, index };
    }

    /// Suspect tasks of a step.
    struct suspects_of_step {
        /// Indices of those to start.
        std::vector<std::uint32_t> waiting;
        bool hasProbation = false;
        bool hasSurvivor = false;
        /// Time of the last crash, Unix milliseconds.
        std::int64_t lastCrashMs = 0;
    };

    suspects_of_step findSuspects(
        const ready_step& ready, const crash_history& history, const worker_slots& slots, std::int64_t nowMs)
    {
        suspects_of_step suspects;
        // A step without a record has not started, so no worker can have crashed under it.
        if (ready.progress == nullptr)
            return suspects;
        const auto& tasks = ready.progress->tasks;
        for (auto each = history.tasks.lower_bound(taskOf(ready, 0)); each != history.tasks.end(); ++each) {
            const auto& task = each->first;
            if (task != taskOf(ready, task.index) || task.index >= tasks.size())
                break;
            const auto status = statusOf(tasks[task.index], slots, nowMs);
            suspects.hasProbation = suspects.hasProbation || status == suspect_status::OnProbation;
            suspects.hasSurvivor = suspects.hasSurvivor || status == suspect_status::Survived;
            suspects.lastCrashMs = std::max(suspects.lastCrashMs, each->second.lastMs);
            if (status == suspect_status::Waiting)
                suspects.waiting.push_back(task.index);
        }
        return suspects;
    }

    void markSuspect(ready_step& ready, const suspects_of_step& suspects, std::int64_t nowMs)
    {
        ready.isSuspect = true;
        ready.needsEmptyWorker = nowMs - suspects.lastCrashMs < emptyWorkerWaitMs;
    }

    /// Moves the waiting suspect tasks out of a step, into a step that is returned: all once one has survived, one
    /// while none is on probation, otherwise none.
    ready_step takeSuspects(ready_step& ready, suspects_of_step suspects, std::int64_t nowMs)
    {
        std::erase_if(ready.tasks, [&](std::uint32_t index) {
            return std::find(suspects.waiting.begin(), suspects.waiting.end(), index) != suspects.waiting.end();
        });
        if (!suspects.hasSurvivor)
            suspects.waiting.resize(std::min<std::size_t>(suspects.waiting.size(), suspects.hasProbation ? 0 : 1));
        auto separate = ready;
        markSuspect(separate, suspects, nowMs);
        separate.tasks = std::move(suspects.waiting);
        return separate;
    }

} // namespace

void isolateSuspects(worker_slots& slots, const batch_state& state, std::int64_t nowMs)
{
    nowMs = latestMs(state, nowMs);
    for (const auto& [ref, record] : state.crashes.tasks) {
        const auto* const task = findTask(state, ref);
        if (task == nullptr || statusOf(*task, slots, nowMs) != suspect_status::OnProbation)
            continue;
        if (auto* const slot = findSlot(slots, task->worker))
            slot->isolatedFor = ref.job;
    }
}

std::vector<ready_step> separateSuspects(
    std::vector<ready_step> steps, const batch_state& state, const worker_slots& slots, std::int64_t nowMs)
{
    if (state.crashes.tasks.empty())
        return steps;
    nowMs = latestMs(state, nowMs);
    std::vector<ready_step> separated;
    for (auto& each : steps) {
        auto suspects = findSuspects(each, state.crashes, slots, nowMs);
        if (suspects.waiting.empty()) {
            separated.push_back(std::move(each));
            continue;
        }
        if (specOf(each).gang) {
            markSuspect(each, suspects, nowMs);
            separated.push_back(std::move(each));
            continue;
        }
        auto suspect = takeSuspects(each, std::move(suspects), nowMs);
        if (!each.tasks.empty())
            separated.push_back(std::move(each));
        if (!suspect.tasks.empty())
            separated.push_back(std::move(suspect));
    }
    return separated;
}

} // namespace chervilport::batch
