#include "tests/soak/invariant_checker.h"

#include "tests/soak/soak_log.h"

#include <algorithm>
#include <utility>

namespace chervilport::soak {

namespace {

    constexpr int ok = 200;
    constexpr int gone = 410;

    bool isFinal(std::string_view state) { return state == "completed" || state == "failed" || state == "canceled"; }

} // namespace

void invariant_checker::add(const std::string& id, std::string spec, std::vector<submitted_step> steps)
{
    auto& job = m_jobs[id];
    job.spec = std::move(spec);
    job.steps = std::move(steps);
}

job_record* invariant_checker::find(std::string_view id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const submitted_step* invariant_checker::findStep(const task_name& task)
{
    const auto* const job = find(task.job);
    if (job == nullptr || task.step >= job->steps.size() || task.index >= job->steps[task.step].count)
        return nullptr;
    return &job->steps[task.step];
}

bool invariant_checker::areDependenciesDone(const job_record& job, const task_name& task) const
{
    if (task.step == 0 || !job.steps[task.step].dependsOnPrevious)
        return true;
    const auto& earlier = job.steps[task.step - 1];
    for (std::uint32_t index = 0; index < earlier.count; ++index) {
        if (!job.done.contains({ task.job, task.occurrence, task.step - 1, index }))
            return false;
    }
    return true;
}

void invariant_checker::recordStart(
    const task_name& task, std::uint32_t run, std::string_view spec, const std::string& executor)
{
    const auto where = toText(task) + " run " + std::to_string(run) + " on " + executor;
    auto* const job = find(task.job);
    if (findStep(task) == nullptr || spec != job->spec) {
        reportViolation("only submitted jobs run", where);
        return;
    }
    job->hasStarted = true;
    if (job->isRefused)
        reportViolation("a job refused as not run does not run", where);
    if (job->active[task] > 0)
        reportViolation("a task has one run at a time", where);
    if (job->acknowledgedDone.contains(task))
        reportViolation("a task that is done does not run again", where);
    if (!areDependenciesDone(*job, task))
        reportViolation("a step starts after the steps that it depends on", where);
    ++job->active[task];
}

void invariant_checker::recordEnd(const task_name& task, std::string_view kind)
{
    auto* const job = find(task.job);
    if (job == nullptr)
        return;
    const auto active = job->active.find(task);
    if (active != job->active.end() && --active->second <= 0)
        job->active.erase(active);
    if (kind == "done")
        job->done.insert(task);
    else if (kind == "failed")
        ++job->failed[task];
}

void invariant_checker::recordAcknowledgedEnd(const task_name& task)
{
    if (auto* const job = find(task.job))
        job->acknowledgedDone.insert(task);
}

void invariant_checker::recordRefusal(const std::string& id)
{
    auto& job = m_jobs.at(id);
    job.isRefused = true;
    if (job.hasStarted)
        reportViolation("a job refused as not run does not run", id + " had started before");
}

void invariant_checker::recordState(
    const std::string& id, int status, const std::string& state, bool wasCancelAcknowledged)
{
    auto& job = m_jobs.at(id);
    if (status == gone)
        reportViolation("an accepted job is found", id + " got status 410");
    if (status != ok)
        return;
    if (isFinal(job.reportedState) && state != job.reportedState)
        reportViolation("a final state does not change", id + " changed from " + job.reportedState + " to " + state);
    job.reportedState = state;
    if (wasCancelAcknowledged && !isFinal(state))
        reportViolation("an acknowledged cancellation is not undone", id + " has state " + state);
    if (state == "completed")
        checkCompleted(id, job);
    if (state == "canceled" && !job.isCancelSent)
        reportViolation("a job is canceled only by its client", id);
    if (state == "failed" && job.failed.empty())
        reportViolation("a job fails only after a failed run", id);
}

void invariant_checker::checkCompleted(const std::string& id, const job_record& job)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.steps[step].count; ++index) {
            const task_name task { id, 0, step, index };
            if (!job.done.contains(task))
                reportViolation("all tasks of a completed job are done", toText(task));
        }
    }
}

void invariant_checker::reportViolation(const std::string& invariant, const std::string& detail)
{
    logLine("violation", invariant + ": " + detail);
    m_violations.push_back(invariant + ": " + detail);
}

std::vector<std::string> invariant_checker::unfinishedJobs() const
{
    std::vector<std::string> open;
    for (const auto& [id, job] : m_jobs) {
        if (job.isAccepted && !isFinal(job.reportedState))
            open.push_back(id);
    }
    return open;
}

void invariant_checker::checkFinalState()
{
    for (const auto& id : unfinishedJobs())
        reportViolation("an accepted job ends", id + " is in state " + m_jobs.at(id).reportedState);
    for (const auto& [id, job] : m_jobs) {
        const bool hasActiveRuns
            = std::any_of(job.active.begin(), job.active.end(), [](const auto& task) { return task.second > 0; });
        if (hasActiveRuns && isFinal(job.reportedState))
            reportViolation("an ended job has no active runs", id);
    }
}

} // namespace chervilport::soak
