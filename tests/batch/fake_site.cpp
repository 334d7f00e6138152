#include "tests/batch/fake_site.h"

#include "chervilport/batch/run_accounting.h"

namespace chervilport::batch_tests {

using namespace chervilport::batch;

namespace {

    constexpr std::int64_t incarnationMs = 500'000;

    queue_config queueOf(const char* name, std::int64_t priority)
    {
        queue_config queue;
        queue.name = name;
        queue.host = "jobs.example";
        queue.pathPrefix = std::string("/") + name + '/';
        queue.service = "pool";
        queue.timeoutMs = 3'000;
        queue.baseObjectiveMs = 1'000;
        queue.stretch = 3.0;
        queue.priority = priority;
        queue.maxAttempts = 2;
        return queue;
    }

} // namespace

fake_site::fake_site(std::int64_t guaranteedAccelerators)
{
    site_config config;
    config.version = 1;
    config.services = { "pool" };
    config.queues = { queueOf(urgentQueue, 0), queueOf(normalQueue, 1), queueOf(backgroundQueue, 2) };
    config.workspaces = { { "main", { "key" }, guaranteedAccelerators } };
    apply(config_applied { config });
}

void fake_site::apply(batch_command command) { applyBatch(m_state, { m_nowMs, { std::move(command) } }); }

void fake_site::addWorkers(int count, int perRack)
{
    for (int i = 0; i < count; ++i, ++m_workers) {
        auto report
            = reportOf("w" + std::to_string(m_workers), "10.0.0." + std::to_string(m_workers) + ":80", incarnationMs);
        report.rack = "r" + std::to_string(m_workers / perRack);
        apply(worker_reported { report });
    }
    for (const auto& [number, worker] : m_state.workers)
        conditions.try_emplace(number, worker_condition { true, 0 });
}

void fake_site::configureWorkspaces(std::vector<workspace_quota> workspaces)
{
    auto config = m_state.config;
    ++config.version;
    config.workspaces = std::move(workspaces);
    apply(config_applied { std::move(config) });
}

std::string fake_site::submit(const char* queue, std::vector<step_spec> steps, const std::string& workspace)
{
    job_request request;
    request.id = "job" + std::to_string(++m_jobs);
    request.steps = std::move(steps);
    apply(job_submitted { request, *findQueue(m_state.config, queue), workspace });
    return request.id;
}

scheduling_result fake_site::pass()
{
    auto result = planPass(m_state, conditions, schedulerState, bounds, m_nowMs);
    for (const auto& each : result.assigned)
        apply(each);
    return result;
}

void fake_site::end(const run_ref& run, run_end_kind kind, const std::string& checkpoint)
{
    schedulerState.stopping.erase(run);
    apply(run_ended { run, findTask(m_state, run.task)->worker, kind, checkpoint });
}

void fake_site::endAll(const std::string& job, run_end_kind kind)
{
    for (const auto& run : activeRuns(job)) {
        if (isActive(m_state, run.run, run.worker))
            end(run.run, kind);
    }
}

std::vector<run_assigned> fake_site::activeRuns(const std::string& id) const
{
    std::vector<run_assigned> active;
    for (const auto& [number, occurrence] : job(id).occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].worker != noWorker)
                    active.push_back({ { { id, number, step, i }, tasks[i].lastRun }, tasks[i].worker });
            }
        }
    }
    return active;
}

step_spec stepOf(std::uint32_t count, std::int64_t accelerators)
{
    step_spec step;
    step.count = count;
    step.demand = { 1'000, 1'000, accelerators };
    step.estimateMs = 2'000;
    return step;
}

step_spec gangStep(std::uint32_t count, std::int64_t accelerators)
{
    auto step = stepOf(count, accelerators);
    step.gang = true;
    return step;
}

worker_report reportOf(const std::string& id, const std::string& address, std::int64_t incarnation)
{
    worker_report report;
    report.id = id;
    report.address = address;
    report.incarnation = incarnation;
    report.service = "pool";
    report.failureDomain = "a";
    report.rack = "r0";
    report.labels = { "a", "r0" };
    report.capacity = { 64'000, 256'000, 8 };
    report.sequence = 1;
    return report;
}

bool isWithinCapacity(const batch_state& state)
{
    for (const auto& [number, worker] : state.workers) {
        if (!fitsInto(worker.used, worker.report.capacity))
            return false;
    }
    return true;
}

} // namespace chervilport::batch_tests
