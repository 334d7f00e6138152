// The part of policy_driver that simulates the workers.
#include "benchmarks/policy/policy_driver.h"
#include "benchmarks/policy/random_source.h"

#include <algorithm>
#include <chrono>

namespace chervilport::policy_benchmark {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;
    using phase = live_task::phase;

    /// Duration of a worker lease including the clock-rate margin.
    constexpr log_duration leaseDuration = milliseconds(10'100);
    /// Interval between lease renewals: the longest time from the last renewal to the fault of the worker.
    constexpr std::int64_t renewalIntervalMs = 3'000;
    /// Time from the start of a task to its failure if it fails at its start.
    constexpr log_duration failureDelay = milliseconds(300);
    /// Grace period after the start timeout until a partial gang is a violation.
    constexpr log_duration partialRunGrace = seconds(1);
    /// Time from the start of the last task of an attempt to its usage report, and the age of the measurement in it.
    constexpr log_duration usageDelay = minutes(10);
    constexpr log_duration usageLag = seconds(5);

    std::uint64_t hashOf(std::size_t job, std::int32_t attempt, std::int32_t rank)
    {
        return mixHash(job, static_cast<std::uint64_t>(attempt), static_cast<std::uint64_t>(rank));
    }

    log_duration startDelay(std::uint64_t hash) { return milliseconds(200 + static_cast<std::int64_t>(hash % 600)); }

    log_duration killDelay(std::uint64_t hash) { return milliseconds(100 + static_cast<std::int64_t>(hash % 100)); }

    std::int64_t workOf(const stream_job& job, log_duration time)
    {
        return acceleratorsOf(job.spec) * std::chrono::duration_cast<milliseconds>(time).count();
    }

} // namespace

live_task* policy_driver::findTask(live_attempt* attempt, std::int32_t rank, std::uint64_t generation)
{
    if (!attempt)
        return nullptr;
    auto& task = attempt->tasks.at(static_cast<std::size_t>(rank));
    return task.generation == generation && task.state != phase::Removed ? &task : nullptr;
}

void policy_driver::handle(const start_task& start)
{
    const auto job = jobIndex(start.task.job);
    const auto& streamJob = m_stream.jobs[job];
    if (start.limits != streamJob.spec.perTask)
        throw rule_violation("job " + std::to_string(job) + " was started with limits other than its demand");
    const auto worker = m_workers.workerIndex(start.worker);
    const auto resumedWork = start.fromCheckpoint ? m_checkpointedWork[job] : log_duration { 0 };
    auto* task = m_workers.addTask(job, start.task, worker, resumedWork);
    if (!task)
        return;
    task->generation = ++m_lastGeneration;

    // The first task of an attempt starts the checks and the accounting of the attempt.
    if (m_startedAttempts.emplace(job, start.task.attempt).second) {
        m_record.jobs[job].attempts = start.task.attempt;
        enqueue({ .at = m_now + m_stream.site.policy.startTimeout + partialRunGrace,
            .kind = action_kind::CheckNotPartial,
            .job = job,
            .attempt = start.task.attempt });
        // A restart from the beginning loses the work that a checkpoint had saved.
        m_record.work.lostByPreemption += workOf(streamJob, m_checkpointedWork[job] - resumedWork);
        m_checkpointedWork[job] = resumedWork;
        m_lastLostWork[job] = 0;
    }

    // A worker that is down does not respond.
    const auto& target = m_workers.worker(worker);
    if (!target.isUp) {
        m_workers.find(job, start.task.attempt)->hasFailed = true;
        return;
    }
    const bool failsAtStart = target.failsStarts || streamJob.alwaysFails;
    const auto delay = failsAtStart ? failureDelay : startDelay(hashOf(job, start.task.attempt, start.task.rank));
    enqueue({ .at = m_now + delay,
        .kind = failsAtStart ? action_kind::FailStart : action_kind::ConfirmStart,
        .job = job,
        .attempt = start.task.attempt,
        .rank = start.task.rank,
        .generation = task->generation });
}

void policy_driver::handle(const stop_task& stop)
{
    const auto job = jobIndex(stop.task.job);
    const auto worker = m_workers.workerIndex(stop.worker);
    auto* attempt = m_workers.find(job, stop.task.attempt);
    const auto rank = static_cast<std::size_t>(stop.task.rank);
    action confirmation { .at = m_now + killDelay(hashOf(job, stop.task.attempt, stop.task.rank)),
        .kind = action_kind::ConfirmStop,
        .index = worker,
        .job = job,
        .attempt = stop.task.attempt,
        .rank = stop.task.rank };
    const bool isOnWorker = attempt && attempt->tasks.at(rank).worker == worker
        && attempt->tasks[rank].state != phase::Absent && attempt->tasks[rank].state != phase::Removed;
    if (!isOnWorker) {
        confirmation.kind = action_kind::ConfirmUnknownStop;
        enqueue(confirmation);
        return;
    }

    auto& task = attempt->tasks[rank];
    task.isStopRequested = true;
    // The report of an ended task is already queued; a worker that is down does not respond.
    if (task.state == phase::Ended || !m_workers.worker(worker).isUp)
        return;
    const bool isRepeated = task.state == phase::Stopping && stop.mode == stop_mode::Checkpoint;
    if (isRepeated)
        return;

    // Only an attempt whose tasks have all run together can write a checkpoint.
    const auto& streamJob = m_stream.jobs[job];
    if (stop.mode == stop_mode::Checkpoint && streamJob.spec.checkpointable && attempt->gangStartedAt
        && !attempt->hasFailed) {
        confirmation.at = m_now + streamJob.checkpointTime;
        confirmation.isCheckpointed = true;
    }
    endProgress(*attempt);
    task.state = phase::Stopping;
    task.generation = ++m_lastGeneration;
    confirmation.generation = task.generation;
    enqueue(confirmation);
}

void policy_driver::endProgress(live_attempt& attempt)
{
    if (!attempt.progressEndedAt)
        attempt.progressEndedAt = m_now;
}

void policy_driver::confirmStart(const action& next)
{
    auto* attempt = m_workers.find(next.job, next.attempt);
    auto* task = findTask(attempt, next.rank, next.generation);
    if (!task || task->state != phase::Starting || !m_workers.worker(task->worker).isUp)
        return;
    task->state = phase::Running;

    // The last task to start sets the end of the gang.
    const bool areAllRunning = std::all_of(attempt->tasks.begin(), attempt->tasks.end(),
        [](const live_task& other) { return other.state == phase::Running; });
    if (areAllRunning && !attempt->progressEndedAt) {
        attempt->gangStartedAt = m_now;
        auto& record = m_record.jobs[next.job];
        if (!record.firstStartAt)
            record.firstStartAt = m_now;
        auto end = next;
        end.at = m_now + std::max(m_stream.jobs[next.job].trueRunTime - attempt->resumedWork, log_duration { 0 });
        end.kind = action_kind::EndGang;
        enqueue(end);
        auto usage = next;
        usage.at = m_now + usageDelay;
        usage.kind = action_kind::ReportUsage;
        enqueue(usage);
    }
    const auto& worker = m_stream.workers[task->worker].name;
    apply(task_started { worker, { *m_ids[next.job], next.attempt, next.rank } });
}

void policy_driver::failStart(const action& next)
{
    auto* attempt = m_workers.find(next.job, next.attempt);
    auto* task = findTask(attempt, next.rank, next.generation);
    if (!task || task->state != phase::Starting || !m_workers.worker(task->worker).isUp)
        return;
    const auto& worker = m_stream.workers[task->worker].name;
    attempt->hasFailed = true;
    endProgress(*attempt);
    removeTask(*attempt, static_cast<std::size_t>(next.rank));
    apply(task_ended { worker, { *m_ids[next.job], next.attempt, next.rank }, false });
}

void policy_driver::endGang(const action& next)
{
    auto* attempt = m_workers.find(next.job, next.attempt);
    if (!attempt || !isGangRunning(*attempt))
        return;
    endProgress(*attempt);
    attempt->isComplete = true;
    m_record.jobs[next.job].completedAt = m_now;
    m_record.work.useful += workOf(m_stream.jobs[next.job], m_stream.jobs[next.job].trueRunTime);
    for (std::size_t rank = 0; rank < attempt->tasks.size(); ++rank) {
        auto& task = attempt->tasks[rank];
        task.state = phase::Ended;
        task.generation = ++m_lastGeneration;
        enqueue({ .at = m_now,
            .kind = action_kind::EndTask,
            .job = next.job,
            .attempt = next.attempt,
            .rank = static_cast<std::int32_t>(rank),
            .generation = task.generation });
    }
}

void policy_driver::endTask(const action& next)
{
    auto* attempt = m_workers.find(next.job, next.attempt);
    auto* task = findTask(attempt, next.rank, next.generation);
    if (!task)
        return;
    const auto& worker = m_stream.workers[task->worker].name;
    removeTask(*attempt, static_cast<std::size_t>(next.rank));
    apply(task_ended { worker, { *m_ids[next.job], next.attempt, next.rank }, true });
}

void policy_driver::confirmStop(const action& next)
{
    auto* attempt = m_workers.find(next.job, next.attempt);
    auto* task = findTask(attempt, next.rank, next.generation);
    if (!task || !m_workers.worker(task->worker).isUp)
        return;
    const auto& worker = m_stream.workers[task->worker].name;
    attempt->checkpointed += next.isCheckpointed ? 1 : 0;
    removeTask(*attempt, static_cast<std::size_t>(next.rank));
    apply(task_stopped { worker, { *m_ids[next.job], next.attempt, next.rank }, next.isCheckpointed });
}

void policy_driver::confirmUnknownStop(const action& next)
{
    if (m_workers.worker(next.index).isUp)
        apply(task_stopped { m_stream.workers[next.index].name, { *m_ids[next.job], next.attempt, next.rank }, false });
}

void policy_driver::reportUsage(const action& next)
{
    auto* attempt = m_workers.find(next.job, next.attempt);
    if (!attempt || !isGangRunning(*attempt))
        return;
    // One job in twenty uses more memory than it declared.
    constexpr std::uint64_t jobsPerOveruse = 20;
    auto use = m_stream.jobs[next.job].spec.perTask;
    if (hashOf(next.job, 0, 0) % jobsPerOveruse == 0)
        use.memoryMb = use.memoryMb * 13 / 10;
    const auto& worker = m_stream.workers[attempt->tasks.front().worker].name;
    apply(usage_reported { worker, { *m_ids[next.job], next.attempt, 0 }, use, m_now - usageLag });
}

void policy_driver::removeTask(live_attempt& attempt, std::size_t rank)
{
    if (m_workers.removeTask(attempt, rank))
        closeAttempt(attempt);
}

void policy_driver::closeAttempt(live_attempt& attempt)
{
    const auto& job = m_stream.jobs[attempt.job];
    const auto progress = progressOf(attempt, m_now);
    const bool isSaved = attempt.checkpointed == static_cast<std::int32_t>(attempt.tasks.size());
    const bool isCancelled = job.cancelAt && *job.cancelAt <= m_now;
    if (!attempt.isComplete) {
        if (isCancelled)
            m_record.work.lostByCancel += workOf(job, progress);
        else if (attempt.hasFailed)
            m_record.work.lostByFault += workOf(job, progress);
        else if (isSaved)
            m_checkpointedWork[attempt.job] = attempt.resumedWork + progress;
        else
            m_lastLostWork[attempt.job] = workOf(job, progress);
        m_record.work.lostByPreemption += m_lastLostWork[attempt.job];
        if (!isCancelled && !attempt.hasFailed)
            ++m_record.preemptions;
    }
    m_workers.removeAttempt(attempt.job);
}

void policy_driver::beginFault(std::size_t fault)
{
    const auto& startedFault = m_stream.faults[fault];
    for (const auto worker : startedFault.workers) {
        if (startedFault.kind == fault_kind::FailsStarts)
            m_workers.worker(worker).failsStarts = true;
        else
            crashWorker(worker, startedFault.until);
    }
}

void policy_driver::endFault(std::size_t fault)
{
    const auto& endedFault = m_stream.faults[fault];
    for (const auto worker : endedFault.workers) {
        if (endedFault.kind == fault_kind::FailsStarts)
            m_workers.worker(worker).failsStarts = false;
        else
            joinWorker(worker);
    }
}

void policy_driver::crashWorker(std::size_t worker, log_time until)
{
    m_workers.worker(worker).isUp = false;
    for (auto& [job, attempt] : m_workers.attempts()) {
        for (const auto& task : attempt.tasks) {
            if (task.worker != worker || task.state == phase::Removed || attempt.isComplete)
                continue;
            attempt.hasFailed = true;
            endProgress(attempt);
        }
    }
    const auto sinceRenewal = milliseconds(mixHash(worker, 0, m_lastGeneration) % renewalIntervalMs);
    const auto expiry = m_now + leaseDuration - sinceRenewal;
    // A worker that rejoins before its lease expires replaces its old incarnation and is never reported as lost.
    if (expiry < until)
        enqueue({ .at = expiry, .kind = action_kind::LeaseExpired, .index = worker });
}

void policy_driver::joinWorker(std::size_t worker)
{
    removeWorkerTasks(worker);
    auto& joined = m_workers.worker(worker);
    joined.isUp = true;
    ++joined.incarnation;
    m_workers.setJoined(worker, true);
    const auto& streamWorker = m_stream.workers[worker];
    apply(worker_joined { streamWorker.name, joined.incarnation, "rack" + std::to_string(streamWorker.rackPosition),
        streamWorker.rackPosition, m_stream.site.workerCapacity, {} });
}

void policy_driver::loseWorker(std::size_t worker)
{
    removeWorkerTasks(worker);
    m_workers.setJoined(worker, false);
    apply(worker_lost { m_stream.workers[worker].name });
}

void policy_driver::removeWorkerTasks(std::size_t worker)
{
    // Collect the attempts first, because removing the last task of an attempt erases it from the map.
    std::vector<std::pair<std::size_t, std::int32_t>> affected;
    for (const auto& [job, attempt] : m_workers.attempts()) {
        const bool isAffected
            = std::any_of(attempt.tasks.begin(), attempt.tasks.end(), [worker](const live_task& task) {
                  return task.worker == worker && task.state != phase::Absent && task.state != phase::Removed;
              });
        if (isAffected)
            affected.emplace_back(job, attempt.attempt);
    }

    // Remove their tasks, and check later that the scheduler stopped the remaining ones.
    for (const auto& [job, number] : affected) {
        enqueue({ .at = m_now + m_stream.site.policy.startTimeout + partialRunGrace,
            .kind = action_kind::CheckNotPartial,
            .job = job,
            .attempt = number });
        const auto taskCount = m_workers.find(job, number)->tasks.size();
        for (std::size_t rank = 0; rank < taskCount; ++rank) {
            auto* attempt = m_workers.find(job, number);
            if (attempt && attempt->tasks[rank].worker == worker && attempt->tasks[rank].state != phase::Removed)
                removeTask(*attempt, rank);
        }
    }
}

} // namespace chervilport::policy_benchmark
