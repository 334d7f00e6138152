#include "chervilport/scheduling/quarantine.h"

#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstddef>

namespace chervilport {

namespace {

    /// Different jobs that have to fail on a worker, without a success in between, before it is put in quarantine.
    constexpr std::size_t quarantineThreshold = 3;

    /// Failures kept for each worker.
    constexpr std::size_t maxRecentFailures = 16;

    /// Workers on which a job or a kind has to fail before the failures are attributed to it.
    constexpr std::size_t minWorkersForJobFault = 3;

    /// Names of workers kept for each job and kind.
    constexpr std::size_t maxFailedWorkers = 8;

    /// One worker in this many may be in quarantine at once; a larger share suggests another cause.
    constexpr std::size_t quarantineDivisor = 4;

    /// Delay of the first probe; doubles with every failed probe up to the maximum.
    constexpr log_duration minProbeDelay = std::chrono::minutes(5);
    constexpr log_duration maxProbeDelay = std::chrono::hours(4);

    /// Time for which a due probe waits for a suitable job. Then the worker returns to service on trial, because the
    /// queue may hold only jobs that need it and are too large for a probe.
    constexpr log_duration maxProbeWait = std::chrono::hours(1);

    /// Longest expected run time of a probe, which is a job with a single task.
    constexpr log_duration maxProbeRunTime = std::chrono::hours(1);

    void addFailedWorker(std::vector<std::string>& names, const std::string& name)
    {
        if (std::find(names.begin(), names.end(), name) != names.end())
            return;
        if (names.size() == maxFailedWorkers)
            names.erase(names.begin());
        names.push_back(name);
    }

    /// Removes failures that are attributed to a job or kind, and returns workers to service that were in quarantine
    /// only because of them.
    template <typename Predicate>
    void removeFailures(schedule_state& state, const Predicate& predicate, std::vector<command>& out)
    {
        for (auto& worker : state.workers) {
            if (std::erase_if(worker.recentFailures, predicate) == 0 || !worker.quarantined)
                continue;
            if (worker.recentFailures.size() >= quarantineThreshold)
                continue;
            worker.quarantined = false;
            worker.quarantineRound = 0;
            worker.probeJob = {};
            out.emplace_back(worker_quarantine_changed { worker.name, false });
        }
    }

    /// Returns whether another job of the same kind has been running for much longer than the failed one did.
    bool runsElsewhere(const schedule_state& state, const job_record& failed)
    {
        constexpr log_duration minRunTime = std::chrono::minutes(1);
        constexpr std::int32_t factor = 4;
        const auto elapsed = failed.startedAt ? state.now - *failed.startedAt : log_duration(0);
        const auto needed = std::max(minRunTime, elapsed * factor);
        return std::any_of(state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
            const auto& job = entry.second;
            return job.state == job_state::Running && job.id != failed.id && job.spec.kind == failed.spec.kind
                && job.spec.workspace == failed.spec.workspace && state.now - *job.startedAt >= needed;
        });
    }

    void scheduleProbe(schedule_state& state, worker_record& worker)
    {
        auto delay = minProbeDelay;
        for (std::int32_t i = 0; i < worker.quarantineRound && delay < maxProbeDelay; ++i)
            delay *= 2;
        worker.probeAt = state.now + std::min(delay, maxProbeDelay);
        ++worker.quarantineRound;
        worker.probeJob = {};
    }

    bool mayQuarantine(const schedule_state& state)
    {
        std::size_t readyCount = 0;
        std::size_t quarantinedCount = 0;
        for (const auto& worker : state.workers) {
            if (worker.state != worker_state::Ready)
                continue;
            ++readyCount;
            quarantinedCount += worker.quarantined ? 1 : 0;
        }
        return (quarantinedCount + 1) * quarantineDivisor <= std::max(readyCount, quarantineDivisor);
    }

    /// Decrements the failure counts of the jobs that failed on a worker.
    void revertFailureCounts(schedule_state& state, const worker_record& worker)
    {
        for (const auto& item : worker.recentFailures)
            if (auto* job = findActive(state, item.job); job && job->failures > 0)
                --job->failures;
    }

} // namespace

bool recordFailure(schedule_state& state, job_record& job, std::int32_t workerIndex, std::vector<command>& out)
{
    auto& worker = state.workers[workerIndex];
    const workspace_key kind { job.spec.workspace, job.spec.kind };
    addFailedWorker(job.failedOn, worker.name);

    // A failed probe prolongs the quarantine and does not count against the job.
    if (worker.quarantined) {
        if (worker.probeJob == job.id)
            scheduleProbe(state, worker);
        return false;
    }

    // A kind that fails on several workers, while none of its jobs succeeds or runs for much longer, is itself the
    // cause. Its failures then do not count against the workers.
    auto& record = touchKind(state, kind);
    if (runsElsewhere(state, job))
        record.failedOn.clear();
    addFailedWorker(record.failedOn, worker.name);
    if (record.failedOn.size() >= minWorkersForJobFault) {
        removeFailures(
            state, [&](const failure_record& item) { return item.kind == kind; }, out);
        return true;
    }
    if (job.failedOn.size() >= minWorkersForJobFault) {
        removeFailures(
            state, [&](const failure_record& item) { return item.job == job.id; }, out);
        return true;
    }

    const auto isRecorded = std::any_of(worker.recentFailures.begin(), worker.recentFailures.end(),
        [&](const failure_record& item) { return item.job == job.id; });
    if (!isRecorded && worker.recentFailures.size() < maxRecentFailures)
        worker.recentFailures.push_back({ job.id, kind });
    if (worker.recentFailures.size() < quarantineThreshold || !mayQuarantine(state))
        return true;
    worker.quarantined = true;
    scheduleProbe(state, worker);
    revertFailureCounts(state, worker);
    out.emplace_back(worker_quarantine_changed { worker.name, true });
    return false;
}

void recordSuccess(schedule_state& state, const job_record& job, std::int32_t workerIndex, std::vector<command>& out)
{
    auto& worker = state.workers[workerIndex];
    worker.recentFailures.clear();
    if (const auto kind = state.kinds.find({ job.spec.workspace, job.spec.kind }); kind != state.kinds.end())
        kind->second.failedOn.clear();
    if (!worker.quarantined)
        return;
    worker.quarantined = false;
    worker.quarantineRound = 0;
    worker.probeJob = {};
    out.emplace_back(worker_quarantine_changed { worker.name, false });
}

bool mayProbe(const schedule_state& state, const job_record& job, std::int32_t workerIndex)
{
    const auto& worker = state.workers[workerIndex];
    constexpr std::int32_t median = 500;
    return worker.quarantined && worker.state == worker_state::Ready && worker.tasks.empty()
        && worker.probeAt <= state.now && job.spec.taskCount == 1 && job.spec.jobClass != job_class::Urgent
        && job.spec.preemptible && !job.spec.deadline && runTimeQuantile(state, job.spec, median) <= maxProbeRunTime;
}

void recordProbe(schedule_state& state, const job_record& job, std::int32_t worker)
{
    state.workers[worker].probeJob = job.id;
}

bool releaseUnprobedWorkers(schedule_state& state, std::vector<command>& out)
{
    auto changed = false;
    for (auto& worker : state.workers) {
        if (!worker.quarantined || worker.probeAt + maxProbeWait > state.now || !worker.tasks.empty())
            continue;
        // The next failure of another job puts it back in quarantine.
        worker.recentFailures.resize(std::min(worker.recentFailures.size(), quarantineThreshold - 1));
        worker.quarantined = false;
        worker.probeJob = {};
        out.emplace_back(worker_quarantine_changed { worker.name, false });
        changed = true;
    }
    return changed;
}

std::optional<log_time> nextProbe(const schedule_state& state)
{
    std::optional<log_time> next;
    for (const auto& worker : state.workers) {
        if (!worker.quarantined || !worker.tasks.empty())
            continue;
        const auto at = worker.probeAt > state.now ? worker.probeAt : worker.probeAt + maxProbeWait;
        if (!next || at < *next)
            next = at;
    }
    return next;
}

} // namespace chervilport
