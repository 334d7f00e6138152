#include "chervilport/batch/ready_step.h"

#include <algorithm>
#include <numeric>

namespace chervilport::batch {

namespace {

    bool areDependenciesDone(const occurrence_record& occurrence, const step_spec& step)
    {
        return std::all_of(step.dependsOn.begin(), step.dependsOn.end(), [&](std::uint32_t earlier) {
            const auto& record = occurrence.steps[earlier];
            return record.doneCount == record.tasks.size();
        });
    }

    std::vector<std::uint32_t> pendingTasks(const step_spec& spec, const step_record& step)
    {
        std::vector<std::uint32_t> pending;
        if (step.doneCount + step.activeCount == step.tasks.size() || (spec.gang && step.activeCount > 0))
            return pending;
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (!step.tasks[i].done && step.tasks[i].worker == noWorker)
                pending.push_back(i);
        }
        return pending;
    }

    void addStartedOccurrences(const job_record& job, std::vector<ready_step>& ready)
    {
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& spec = job.request.steps[i];
                if (!areDependenciesDone(occurrence, spec))
                    continue;
                auto pending = pendingTasks(spec, occurrence.steps[i]);
                if (!pending.empty())
                    ready.push_back({ &job, number, i, std::move(pending), &occurrence.steps[i], dueMs(job, number) });
            }
        }
    }

    void addDueOccurrences(const job_record& job, std::int64_t nowMs, std::vector<ready_step>& ready)
    {
        for (auto number = job.nextOccurrence; number < occurrencesOf(job.request); ++number) {
            if (dueMs(job, number) > nowMs)
                return;
            for (std::uint32_t i = 0; i < job.request.steps.size(); ++i) {
                if (!job.request.steps[i].dependsOn.empty())
                    continue;
                std::vector<std::uint32_t> all(job.request.steps[i].count);
                std::iota(all.begin(), all.end(), 0U);
                ready.push_back({ &job, number, i, std::move(all), nullptr, dueMs(job, number) });
            }
        }
    }

} // namespace

const step_spec& specOf(const ready_step& ready) { return ready.job->request.steps[ready.step]; }

std::int64_t dueMs(const job_record& job, std::uint32_t occurrence)
{
    if (job.request.repeatCount == 0)
        return job.acceptedMs;
    return job.request.firstMs + job.request.intervalMs * static_cast<std::int64_t>(occurrence);
}

std::vector<ready_step> listReadySteps(const batch_state& state, std::int64_t nowMs)
{
    std::vector<ready_step> ready;
    for (const auto& [id, job] : state.jobs) {
        if (job.phase != job_phase::Active)
            continue;
        addStartedOccurrences(job, ready);
        addDueOccurrences(job, nowMs, ready);
    }
    return ready;
}

} // namespace chervilport::batch
