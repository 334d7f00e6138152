#include "benchmarks/policy/worker_model.h"

#include <algorithm>

namespace chervilport::policy_benchmark {

using phase = live_task::phase;

namespace {

    /// Attempts of one job above which the scheduler is considered to restart it endlessly. The faults of a stream
    /// cause fewer than ten.
    constexpr std::int32_t maxAttemptsPerJob = 100;

} // namespace

worker_model::worker_model(const event_stream& stream)
    : m_stream(stream)
    , m_workers(stream.workers.size())
    , m_lastAttempt(stream.jobs.size(), 0)
{
    for (std::size_t i = 0; i < stream.workers.size(); ++i) {
        m_workerIndex.emplace(stream.workers[i].name, i);
        m_free.workers.push_back({ {}, stream.workers[i].rackPosition });
    }
}

void worker_model::fail(std::size_t job, std::int32_t attempt, const std::string& what) const
{
    throw rule_violation(
        "job " + std::to_string(job) + " of the stream, attempt " + std::to_string(attempt) + ": " + what);
}

std::size_t worker_model::workerIndex(const std::string& name) const
{
    const auto found = m_workerIndex.find(name);
    if (found == m_workerIndex.end())
        throw rule_violation("command for unknown worker " + name);
    return found->second;
}

live_attempt* worker_model::find(std::size_t job, std::int32_t attempt)
{
    const auto found = m_attempts.find(job);
    return found != m_attempts.end() && found->second.attempt == attempt ? &found->second : nullptr;
}

live_task* worker_model::addTask(std::size_t job, const task_id& task, std::size_t worker, log_duration resumedWork)
{
    const auto& spec = m_stream.jobs.at(job).spec;
    auto found = m_attempts.find(job);
    if (found != m_attempts.end() && found->second.attempt != task.attempt)
        fail(job, task.attempt, "started while attempt " + std::to_string(found->second.attempt) + " is live");

    // Create the attempt with its first task.
    if (found == m_attempts.end()) {
        if (task.attempt <= m_lastAttempt[job])
            fail(job, task.attempt, "the attempt number was used before");
        if (task.attempt > maxAttemptsPerJob)
            fail(job, task.attempt, "more than " + std::to_string(maxAttemptsPerJob) + " attempts");
        m_lastAttempt[job] = task.attempt;
        live_attempt attempt { .job = job, .attempt = task.attempt, .resumedWork = resumedWork };
        attempt.tasks.resize(static_cast<std::size_t>(spec.taskCount));
        found = m_attempts.emplace(job, std::move(attempt)).first;
    }

    // A repeated start of a task on the same worker changes nothing.
    auto& attempt = found->second;
    if (task.rank < 0 || task.rank >= spec.taskCount)
        fail(job, task.attempt, "rank " + std::to_string(task.rank) + " does not exist");
    auto& live = attempt.tasks[static_cast<std::size_t>(task.rank)];
    if (live.state != phase::Absent) {
        if (live.worker != worker)
            fail(job, task.attempt, "rank " + std::to_string(task.rank) + " was started on two workers");
        return nullptr;
    }
    if (attempt.resumedWork != resumedWork)
        fail(job, task.attempt, "only some tasks continue from the checkpoint");

    // Allocate the capacity of the task.
    if (!m_workers.at(worker).isJoined)
        fail(job, task.attempt, "started on lost worker " + m_stream.workers[worker].name);
    auto& free = m_free.workers[worker].free;
    free = subtract(free, spec.perTask);
    if (!isNonNegative(free))
        fail(job, task.attempt, "overcommits worker " + m_stream.workers[worker].name);
    live.worker = worker;
    live.state = phase::Starting;
    return &live;
}

void worker_model::checkPlacement(std::size_t job, std::int32_t attempt) const
{
    const auto found = m_attempts.find(job);
    if (found == m_attempts.end() || found->second.attempt != attempt)
        return;
    std::vector<std::size_t> workers;
    for (const auto& task : found->second.tasks) {
        if (task.state == phase::Absent)
            fail(job, attempt, "only a part of the gang was started");
        workers.push_back(task.worker);
    }
    if (!meetsAdjacency(m_free, workers, m_stream.jobs[job].spec.placement))
        fail(job, attempt, "the tasks are not as close together as required");
}

void worker_model::checkNotPartial(std::size_t job, std::int32_t attempt) const
{
    const auto found = m_attempts.find(job);
    if (found == m_attempts.end() || found->second.attempt != attempt || isGangRunning(found->second))
        return;
    // The scheduler is not yet notified of a worker that is down; the gang is checked again after its loss.
    for (const auto& task : found->second.tasks) {
        if (task.state != phase::Removed && !m_workers[task.worker].isUp)
            return;
    }
    for (const auto& task : found->second.tasks) {
        const bool isActive = task.state == phase::Starting || task.state == phase::Running;
        if (isActive && !task.isStopRequested)
            fail(job, attempt, "a part of the gang runs for longer than the start timeout");
    }
}

bool worker_model::removeTask(live_attempt& attempt, std::size_t rank)
{
    auto& task = attempt.tasks.at(rank);
    if (m_workers[task.worker].isJoined) {
        auto& free = m_free.workers[task.worker].free;
        free = add(free, m_stream.jobs[attempt.job].spec.perTask);
    }
    task.state = phase::Removed;
    return std::all_of(attempt.tasks.begin(), attempt.tasks.end(),
        [](const live_task& other) { return other.state == phase::Removed; });
}

void worker_model::setJoined(std::size_t worker, bool isJoined)
{
    m_workers.at(worker).isJoined = isJoined;
    m_free.workers.at(worker).free = isJoined ? m_stream.site.workerCapacity : resources {};
}

} // namespace chervilport::policy_benchmark
