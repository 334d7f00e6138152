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

void job_ledger::add(const std::string& id, std::string spec, std::vector<submitted_step> steps)
{
    auto& job = m_jobs[id];
    job.spec = std::move(spec);
    job.steps = std::move(steps);
}

job_account* job_ledger::find(std::string_view id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const submitted_step* job_ledger::findStep(const task_name& task)
{
    const auto* const job = find(task.job);
    if (job == nullptr || task.step >= job->steps.size() || task.index >= job->steps[task.step].count)
        return nullptr;
    return &job->steps[task.step];
}

bool job_ledger::dependenciesDone(const job_account& job, const task_name& task) const
{
    if (task.step == 0 || !job.steps[task.step].afterPrevious)
        return true;
    const auto& earlier = job.steps[task.step - 1];
    for (std::uint32_t index = 0; index < earlier.count; ++index) {
        if (!job.done.contains({ task.job, task.occurrence, task.step - 1, index }))
            return false;
    }
    return true;
}

void job_ledger::noteStart(const task_name& task, std::uint32_t run, std::string_view spec, const std::string& executor)
{
    const auto where = toText(task) + " run " + std::to_string(run) + " on " + executor;
    auto* const job = find(task.job);
    if (findStep(task) == nullptr || spec != job->spec) {
        report("nothing runs that was not submitted", where);
        return;
    }
    job->started = true;
    if (job->refused)
        report("a refusal that says not run is true", where);
    if (job->active[task] > 0)
        report("a task has one run at a time", where);
    if (job->acknowledgedDone.contains(task))
        report("a task that is done does not run again", where);
    if (!dependenciesDone(*job, task))
        report("a step waits for the steps before it", where);
    ++job->active[task];
}

void job_ledger::noteEnd(const task_name& task, std::string_view how)
{
    auto* const job = find(task.job);
    if (job == nullptr)
        return;
    const auto active = job->active.find(task);
    if (active != job->active.end() && --active->second <= 0)
        job->active.erase(active);
    if (how == "done")
        job->done.insert(task);
    else if (how == "failed")
        ++job->failed[task];
}

void job_ledger::noteAcknowledgedEnd(const task_name& task)
{
    if (auto* const job = find(task.job))
        job->acknowledgedDone.insert(task);
}

void job_ledger::noteRefused(const std::string& id)
{
    auto& job = m_jobs.at(id);
    job.refused = true;
    if (job.started)
        report("a refusal that says not run is true", id + " had started before");
}

void job_ledger::noteShown(const std::string& id, int status, const std::string& state, bool wasCancelled)
{
    auto& job = m_jobs.at(id);
    if (status == gone)
        report("an accepted job is known", id + " was answered with 410");
    if (status != ok)
        return;
    if (isFinal(job.shownState) && state != job.shownState)
        report("a final state stays", id + " went from " + job.shownState + " to " + state);
    job.shownState = state;
    if (wasCancelled && !isFinal(state))
        report("an acknowledged cancelling holds", id + " was shown as " + state);
    if (state == "completed")
        checkCompleted(id, job);
    if (state == "canceled" && !job.cancelSent)
        report("only its caller cancels a job", id);
    if (state == "failed" && job.failed.empty())
        report("a job fails only by runs that failed", id);
}

void job_ledger::checkCompleted(const std::string& id, const job_account& job)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.steps[step].count; ++index) {
            const task_name task { id, 0, step, index };
            if (!job.done.contains(task))
                report("a job is completed when all its tasks are done", toText(task));
        }
    }
}

void job_ledger::report(const std::string& promise, const std::string& detail)
{
    logLine("violation", promise + ": " + detail);
    m_violations.push_back(promise + ": " + detail);
}

std::vector<std::string> job_ledger::unfinished() const
{
    std::vector<std::string> open;
    for (const auto& [id, job] : m_jobs) {
        if (job.accepted && !isFinal(job.shownState))
            open.push_back(id);
    }
    return open;
}

void job_ledger::checkSettled()
{
    for (const auto& id : unfinished())
        report("an accepted job ends", id + " is still " + m_jobs.at(id).shownState);
    for (const auto& [id, job] : m_jobs) {
        const bool runs
            = std::any_of(job.active.begin(), job.active.end(), [](const auto& task) { return task.second > 0; });
        if (runs && isFinal(job.shownState))
            report("nothing of an ended job runs", id);
    }
}

} // namespace chervilport::soak
