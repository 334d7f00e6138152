#include "chervilport/scheduling/quarantine.h"

#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstddef>

namespace chervilport {

namespace {

    /// Different jobs that have to fail on a worker, without a success in between, before it is put in quarantine.
    constexpr std::size_t evidenceNeeded = 3;

    /// Failures remembered for each worker.
    constexpr std::size_t evidenceBound = 16;

    /// Workers on which a job or a kind has to fail before the fault is held to be its own.
    constexpr std::size_t ownFaultWorkers = 3;

    /// Failed workers remembered for each job and kind.
    constexpr std::size_t kindFailureBound = 8;

    /// One worker in this many may be in quarantine at once; a larger share points to another cause.
    constexpr std::size_t quarantineDivisor = 4;

    /// Time to the first probe; doubles with every failed one up to the bound.
    constexpr log_duration firstProbe = std::chrono::minutes(5);
    constexpr log_duration longestProbe = std::chrono::hours(4);

    /// Time for which a due probe waits for a suitable job. Then the worker returns to service on trial, because the
    /// queue may hold only jobs that need it and are too large for a probe.
    constexpr log_duration unprobedTime = std::chrono::hours(1);

    /// Largest probe: single tasks that are expected to take at most this long.
    constexpr log_duration probeRunTime = std::chrono::hours(1);

    void remember(std::vector<std::string>& names, const std::string& name)
    {
        if (std::find(names.begin(), names.end(), name) != names.end())
            return;
        if (names.size() == kindFailureBound)
            names.erase(names.begin());
        names.push_back(name);
    }

    /// Removes evidence that turned out to be the fault of a job or kind, and puts workers back in service that are
    /// in quarantine because of it alone.
    template <typename Predicate>
    void withdrawEvidence(schedule_state& state, const Predicate& predicate, std::vector<command>& out)
    {
        for (auto& worker : state.workers) {
            if (std::erase_if(worker.evidence, predicate) == 0 || !worker.quarantined)
                continue;
            if (worker.evidence.size() >= evidenceNeeded)
                continue;
            worker.quarantined = false;
            worker.quarantineRound = 0;
            worker.probeJob = {};
            out.emplace_back(worker_quarantine_changed { worker.name, false });
        }
    }

    /// Returns whether a job of the same kind runs on other workers for much longer than the failed one did.
    bool runsElsewhere(const schedule_state& state, const job_record& failed)
    {
        constexpr log_duration leastRunTime = std::chrono::minutes(1);
        constexpr std::int32_t factor = 4;
        const auto ran = failed.startedAt ? state.now - *failed.startedAt : log_duration(0);
        const auto needed = std::max(leastRunTime, ran * factor);
        return std::any_of(state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
            const auto& job = entry.second;
            return job.state == job_state::Running && job.id != failed.id && job.spec.kind == failed.spec.kind
                && job.spec.workspace == failed.spec.workspace && state.now - *job.startedAt >= needed;
        });
    }

    void schedulePause(schedule_state& state, worker_record& worker)
    {
        auto pause = firstProbe;
        for (std::int32_t i = 0; i < worker.quarantineRound && pause < longestProbe; ++i)
            pause *= 2;
        worker.probeAt = state.now + std::min(pause, longestProbe);
        ++worker.quarantineRound;
        worker.probeJob = {};
    }

    bool quarantineAllowed(const schedule_state& state)
    {
        std::size_t known = 0;
        std::size_t out = 0;
        for (const auto& worker : state.workers) {
            if (worker.state != worker_state::Ready)
                continue;
            ++known;
            out += worker.quarantined ? 1 : 0;
        }
        return (out + 1) * quarantineDivisor <= std::max(known, quarantineDivisor);
    }

    /// Takes the failures on a worker off the accounts of the jobs that met it.
    void refundJobs(schedule_state& state, const worker_record& worker)
    {
        for (const auto& item : worker.evidence)
            if (auto* job = findActive(state, item.job); job && job->failures > 0)
                --job->failures;
    }

} // namespace

bool noteFailure(schedule_state& state, job_record& job, std::int32_t workerIndex, std::vector<command>& out)
{
    auto& worker = state.workers[workerIndex];
    const workspace_key kind { job.spec.workspace, job.spec.kind };
    remember(job.failedOn, worker.name);

    // A failed probe prolongs the quarantine and is not held against the job.
    if (worker.quarantined) {
        if (worker.probeJob == job.id)
            schedulePause(state, worker);
        return false;
    }

    // A kind that fails on several workers, and runs well nowhere, is the cause itself and no evidence against them.
    auto& record = touchKind(state, kind);
    if (runsElsewhere(state, job))
        record.failedOn.clear();
    remember(record.failedOn, worker.name);
    if (record.failedOn.size() >= ownFaultWorkers) {
        withdrawEvidence(
            state, [&](const failure_evidence& item) { return item.kind == kind; }, out);
        return true;
    }
    if (job.failedOn.size() >= ownFaultWorkers) {
        withdrawEvidence(
            state, [&](const failure_evidence& item) { return item.job == job.id; }, out);
        return true;
    }

    const auto known = std::any_of(worker.evidence.begin(), worker.evidence.end(),
        [&](const failure_evidence& item) { return item.job == job.id; });
    if (!known && worker.evidence.size() < evidenceBound)
        worker.evidence.push_back({ job.id, kind });
    if (worker.evidence.size() < evidenceNeeded || !quarantineAllowed(state))
        return true;
    worker.quarantined = true;
    schedulePause(state, worker);
    refundJobs(state, worker);
    out.emplace_back(worker_quarantine_changed { worker.name, true });
    return false;
}

void noteSuccess(schedule_state& state, const job_record& job, std::int32_t workerIndex, std::vector<command>& out)
{
    auto& worker = state.workers[workerIndex];
    worker.evidence.clear();
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
        && job.spec.preemptible && !job.spec.deadline && runTimeQuantile(state, job.spec, median) <= probeRunTime;
}

void noteProbe(schedule_state& state, const job_record& job, std::int32_t worker)
{
    state.workers[worker].probeJob = job.id;
}

bool returnUnprobed(schedule_state& state, std::vector<command>& out)
{
    auto changed = false;
    for (auto& worker : state.workers) {
        if (!worker.quarantined || worker.probeAt + unprobedTime > state.now || !worker.tasks.empty())
            continue;
        // The next failure is enough to put it back.
        worker.evidence.resize(std::min(worker.evidence.size(), evidenceNeeded - 1));
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
        const auto at = worker.probeAt > state.now ? worker.probeAt : worker.probeAt + unprobedTime;
        if (!next || at < *next)
            next = at;
    }
    return next;
}

} // namespace chervilport
