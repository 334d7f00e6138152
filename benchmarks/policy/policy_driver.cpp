#include "benchmarks/policy/policy_driver.h"

#include "benchmarks/policy/fragmentation.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <variant>

namespace chervilport::policy_benchmark {

namespace {

    using std::chrono::hours;
    using std::chrono::minutes;

    /// Interval between samples of the free capacity.
    constexpr log_duration fleetSampleInterval = minutes(1);
    /// Interval between samples of the size of the state.
    constexpr log_duration stateSampleInterval = hours(2);
    /// Timers at the same virtual time above which the scheduler is considered to be in an endless loop.
    constexpr std::int32_t maxTimersAtSameTime = 1000;

    std::int64_t threadTimeNs()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
    }

    bool isFinal(job_state state) { return state >= job_state::Succeeded; }

} // namespace

policy_driver::policy_driver(const event_stream& stream, const scheduler& tested)
    : m_stream(stream)
    , m_scheduler(tested)
    , m_workers(stream)
    , m_ids(stream.jobs.size())
    , m_checkpointedWork(stream.jobs.size(), log_duration { 0 })
    , m_lastLostWork(stream.jobs.size(), 0)
    , m_largestShape(largestGuaranteedShape(stream.site))
{
    m_record.jobs.resize(stream.jobs.size());
    for (const auto& workspace : stream.site.workspaces) {
        for (const auto& guaranteed : workspace.guarantee)
            m_guaranteed[workspace.name]
                += static_cast<std::int64_t>(guaranteed.count) * guaranteed.taskCount * guaranteed.perTask.accelerators;
    }
}

void policy_driver::fail(const std::string& what) const
{
    throw rule_violation("at " + std::to_string(m_now.time_since_epoch().count() / 1'000'000) + " s: " + what);
}

void policy_driver::enqueue(action next)
{
    next.sequence = ++m_sequence;
    m_actions.push(next);
}

void policy_driver::enqueueStream()
{
    for (std::size_t i = 0; i < m_stream.jobs.size(); ++i) {
        const auto& job = m_stream.jobs[i];
        enqueue({ .at = job.submittedAt, .kind = action_kind::Submit, .index = i });
        if (job.cancelAt)
            enqueue({ .at = *job.cancelAt, .kind = action_kind::Cancel, .index = i });
    }
    for (std::size_t i = 0; i < m_stream.faults.size(); ++i) {
        enqueue({ .at = m_stream.faults[i].from, .kind = action_kind::FaultBegin, .index = i });
        enqueue({ .at = m_stream.faults[i].until, .kind = action_kind::FaultEnd, .index = i });
    }
    for (auto at = log_time(); at < m_stream.endOfSubmissions; at += fleetSampleInterval)
        enqueue({ .at = at, .kind = action_kind::SampleFleet });
    for (auto at = log_time(); at < m_stream.endOfSubmissions; at += stateSampleInterval)
        enqueue({ .at = at, .kind = action_kind::SampleState });
}

bool policy_driver::isFinished() const { return m_submitted == m_stream.jobs.size() && m_openJobs == 0; }

run_record policy_driver::run()
{
    // Jobs that are still open after five times the period count as not completed.
    const auto limit = log_time(m_stream.endOfSubmissions.time_since_epoch() * 5);
    apply(configuration_changed { 1, m_stream.site.workspaces, m_stream.site.policy });
    for (std::size_t i = 0; i < m_stream.workers.size(); ++i)
        joinWorker(i);
    enqueueStream();
    while (!m_actions.empty() && !isFinished()) {
        const auto next = m_actions.top();
        m_actions.pop();
        if (next.at > limit)
            break;
        if (next.at > m_now)
            m_timersAtSameTime = 0;
        m_now = next.at;
        try {
            perform(next);
        } catch (const rule_violation& violation) {
            fail(violation.what());
        }
    }
    m_record.endedAt = m_now;
    return m_record;
}

void policy_driver::perform(const action& next)
{
    switch (next.kind) {
    case action_kind::Submit:
        return submit(next.index);
    case action_kind::Cancel:
        return cancel(next.index);
    case action_kind::FaultBegin:
        return beginFault(next.index);
    case action_kind::FaultEnd:
        return endFault(next.index);
    case action_kind::LeaseExpired:
        return loseWorker(next.index);
    case action_kind::ConfirmStart:
        return confirmStart(next);
    case action_kind::FailStart:
        return failStart(next);
    case action_kind::EndGang:
        return endGang(next);
    case action_kind::EndTask:
        return endTask(next);
    case action_kind::ConfirmStop:
        return confirmStop(next);
    case action_kind::ConfirmUnknownStop:
        return confirmUnknownStop(next);
    case action_kind::ReportUsage:
        return reportUsage(next);
    case action_kind::CheckNotPartial:
        return m_workers.checkNotPartial(next.job, next.attempt);
    case action_kind::Timer:
        return fireTimer(next);
    case action_kind::SampleFleet:
        return addFragmentationSample(m_record.fragmentation, m_workers.freeCapacity(), m_largestShape);
    case action_kind::SampleState:
        m_record.cost.peakStateBytes
            = std::max(m_record.cost.peakStateBytes, static_cast<std::int64_t>(m_scheduler.stateBytes()));
        return;
    }
}

void policy_driver::apply(const event& input)
{
    // Measure the decision.
    const auto elapsedBefore = std::chrono::steady_clock::now();
    const auto before = threadTimeNs();
    const auto commands = m_scheduler.apply(input, m_now);
    const auto spent = threadTimeNs() - before;
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - elapsedBefore);
    auto& cost = m_record.cost;
    ++cost.decisions;
    cost.totalNs += spent;
    if (spent > cost.slowestNs) {
        cost.slowestNs = spent;
        cost.slowestEvent = input.index();
    }
    cost.slowestElapsedNs = std::max<std::int64_t>(cost.slowestElapsedNs, elapsed.count());

    // Execute the commands, then check the placement of the attempts that they started.
    m_startedAttempts.clear();
    for (const auto& next : commands)
        std::visit([this](const auto& alternative) { handle(alternative); }, next);
    for (const auto& [job, attempt] : m_startedAttempts)
        m_workers.checkPlacement(job, attempt);
}

std::size_t policy_driver::jobIndex(job_id job) const
{
    const auto found = m_jobById.find(job);
    if (found == m_jobById.end())
        throw rule_violation("command for unknown job " + std::to_string(static_cast<std::uint64_t>(job)));
    return found->second;
}

void policy_driver::handle(const job_accepted& accepted)
{
    // The client key of a job is "key" followed by its position in the stream.
    const auto index = static_cast<std::size_t>(std::stoul(accepted.clientKey.substr(3)));
    if (accepted.duplicate || m_ids.at(index))
        throw rule_violation("submission " + accepted.clientKey + " was treated as a duplicate");
    m_ids[index] = accepted.job;
    m_jobById.emplace(accepted.job, index);
}

void policy_driver::handle(const job_refused& refused)
{
    const auto index = static_cast<std::size_t>(std::stoul(refused.clientKey.substr(3)));
    m_record.jobs.at(index).isRefused = true;
    m_record.jobs[index].state = job_state::Infeasible;
    closeJob(index);
}

void policy_driver::handle(const job_changed& change)
{
    const auto index = jobIndex(change.job);
    auto& job = m_record.jobs[index];
    if (isFinal(job.state))
        throw rule_violation("job " + std::to_string(index) + " changed its final state");
    job.state = change.state;
    if (change.state == job_state::Succeeded && !job.completedAt)
        throw rule_violation("job " + std::to_string(index) + " was reported as succeeded before its end");
    if (change.state == job_state::Expired) {
        m_record.work.lostByPreemption -= m_lastLostWork[index];
        m_record.work.lostByExpiry += m_lastLostWork[index];
    }
    if (isFinal(change.state))
        closeJob(index);
}

void policy_driver::handle(const wake_at& wake)
{
    const auto at = std::max(wake.time, m_now);
    enqueue({ .at = at, .kind = action_kind::Timer, .generation = ++m_timerGeneration });
}

void policy_driver::fireTimer(const action& next)
{
    if (next.generation != m_timerGeneration)
        return;
    if (++m_timersAtSameTime > maxTimersAtSameTime)
        throw rule_violation(
            "the scheduler set more than " + std::to_string(maxTimersAtSameTime) + " timers at the same time");
    apply(timer_fired {});
}

void policy_driver::closeJob(std::size_t job)
{
    const auto& spec = m_stream.jobs[job].spec;
    m_record.jobs[job].closedAt = m_now;
    m_openAccelerators[spec.workspace] -= acceleratorsOf(spec);
    --m_openJobs;
}

void policy_driver::submit(std::size_t job)
{
    const auto& spec = m_stream.jobs[job].spec;
    ++m_submitted;
    ++m_openJobs;
    auto& open = m_openAccelerators[spec.workspace];
    open += acceleratorsOf(spec);
    m_record.jobs[job].isWithinGuarantee = open <= m_guaranteed[spec.workspace];
    apply(job_submitted { spec });
    if (!m_ids[job] && !m_record.jobs[job].isRefused)
        throw rule_violation("submission " + spec.clientKey + " was neither accepted nor refused");
}

void policy_driver::cancel(std::size_t job)
{
    if (m_ids[job] && !m_record.jobs[job].closedAt)
        apply(job_cancelled { *m_ids[job] });
}

} // namespace chervilport::policy_benchmark
