#include "chervilport/scheduling/timers.h"

#include "chervilport/scheduling/attempts.h"
#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/event_handlers.h"
#include "chervilport/scheduling/quarantine.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace chervilport {

namespace {

    /// Quantile of the run times of comparable jobs, in thousandths, that is taken as the shortest possible run time.
    constexpr std::int32_t minRunTimeQuantile = 30;

    /// Time after which a lost worker is no longer expected to return and its record is removed.
    constexpr log_duration lostWorkerRetention = std::chrono::hours(24);

    void setIfEarlier(std::optional<log_time>& next, log_time candidate)
    {
        if (!next || candidate < *next)
            next = candidate;
    }

    std::vector<job_id> jobIds(const schedule_state& state)
    {
        std::vector<job_id> ids;
        ids.reserve(state.jobs.size());
        for (const auto& [id, job] : state.jobs)
            ids.push_back(id);
        return ids;
    }

    /// Stops an attempt whose start timed out. The timeout counts as a failure of the workers that did not confirm, if
    /// they are few.
    void failStart(schedule_state& state, job_record& job, std::vector<command>& out)
    {
        constexpr std::size_t fewWorkers = 2;
        std::vector<std::int32_t> unconfirmed;
        for (const auto& task : job.tasks)
            if (task.phase == task_phase::Starting
                && std::find(unconfirmed.begin(), unconfirmed.end(), task.worker) == unconfirmed.end())
                unconfirmed.push_back(task.worker);
        if (unconfirmed.size() <= fewWorkers)
            for (const auto worker : unconfirmed)
                recordFailure(state, job, worker, out);
        stopAttempt(
            state, job, stop_mode::Kill, job_state::Queued, "not all tasks started within the start timeout", out);
    }

    bool expire(schedule_state& state, job_record& job, std::vector<command>& out)
    {
        if (job.state == job_state::Queued) {
            const auto latest = latestUsefulStart(state, job);
            if (!latest || *latest >= state.now)
                return false;
            endJob(state, job.id, job_state::Expired, "can no longer end before its deadline", out);
            return true;
        }
        if (!job.spec.deadline || *job.spec.deadline >= state.now)
            return false;
        if (job.state == job_state::Stopping && job.afterStop != job_state::Queued)
            return false;
        stopAttempt(state, job, stop_mode::Kill, job_state::Expired, "did not end before its deadline", out);
        return true;
    }

    bool removeExpiredWorkers(schedule_state& state)
    {
        auto changed = false;
        for (auto& worker : state.workers) {
            if (worker.state != worker_state::Lost || state.now - worker.lostAt < lostWorkerRetention)
                continue;
            state.workerByName.erase(worker.name);
            worker = {};
            changed = true;
        }
        return changed;
    }

} // namespace

std::optional<log_time> latestUsefulStart(const schedule_state& state, const job_record& job)
{
    if (!job.spec.deadline)
        return std::nullopt;
    return *job.spec.deadline - remainingQuantile(state, job.spec, job.savedRunTime, minRunTimeQuantile);
}

bool runDueTimers(schedule_state& state, std::vector<command>& out)
{
    auto changed = false;
    for (const auto id : jobIds(state)) {
        auto* job = findActive(state, id);
        if (!job)
            continue;
        if (expire(state, *job, out)) {
            changed = true;
            continue;
        }
        if (job->state == job_state::Starting && job->placedAt + state.configuration.policy.startTimeout <= state.now) {
            failStart(state, *job, out);
            changed = true;
        }
        if (job->state == job_state::Stopping && job->killAt && *job->killAt <= state.now)
            killAttempt(state, *job, out);
    }
    if (removeExpiredWorkers(state)) {
        endInfeasibleJobs(state, out);
        changed = true;
    }
    if (state.reviewAt && *state.reviewAt <= state.now) {
        state.reviewAt.reset();
        changed = true;
    }
    changed |= releaseUnprobedWorkers(state, out);
    const auto probeDue = std::any_of(state.workers.begin(), state.workers.end(), [&](const worker_record& worker) {
        return worker.quarantined && worker.probeAt <= state.now && worker.tasks.empty();
    });
    return changed || probeDue;
}

std::optional<log_time> nextDueTime(const schedule_state& state)
{
    std::optional<log_time> next;
    const log_duration tick(1);
    for (const auto& [id, job] : state.jobs) {
        if (job.state == job_state::Queued) {
            if (const auto latest = latestUsefulStart(state, job))
                setIfEarlier(next, *latest + tick);
            continue;
        }
        if (job.spec.deadline && (job.state != job_state::Stopping || job.afterStop == job_state::Queued))
            setIfEarlier(next, *job.spec.deadline + tick);
        if (job.state == job_state::Starting)
            setIfEarlier(next, job.placedAt + state.configuration.policy.startTimeout);
        if (job.state == job_state::Stopping && job.killAt)
            setIfEarlier(next, *job.killAt);
    }
    for (const auto& worker : state.workers)
        if (worker.state == worker_state::Lost)
            setIfEarlier(next, worker.lostAt + lostWorkerRetention);
    if (state.reviewAt)
        setIfEarlier(next, *state.reviewAt);
    if (const auto probe = nextProbe(state))
        setIfEarlier(next, *probe);
    return next;
}

} // namespace chervilport
