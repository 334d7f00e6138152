#include "tests/control/fake_pool.h"

#include "chervilport/control/batch_calls.h"
#include "chervilport/metrics/metric_registry.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace chervilport::control_tests {

namespace {

    constexpr std::int64_t workerClockMs = 100'000;
    /// Turns of the event loop, each up to one tick of the leader, after which a condition counts as never reached.
    constexpr int maxTurns = 4'000;
    constexpr std::chrono::milliseconds turn { 5 };

    std::string addressOf(int index) { return "10.0.0." + std::to_string(index) + ":80"; }

} // namespace

struct fake_pool::worker {
    int address = 0;
    bool isAlive = true;
    std::vector<reported_run> running;
    std::function<void()> heldPoll;
};

fake_pool::fake_pool(int workers)
{
    makeLeader();
    batch::site_config config;
    config.version = 1;
    config.services = { "pool" };
    batch::queue_config queue;
    queue.name = "q";
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.service = "pool";
    queue.timeoutMs = 1'000;
    queue.maxAttempts = 2;
    config.queues = { queue };
    applyConfig(*m_jobs, config, [](call_result) {});
    runUntil([this] { return m_jobs->state().config.version == 1; });
    for (int i = 0; i < workers; ++i)
        report(i);
}

fake_pool::~fake_pool() { m_jobs->stop(); }

void fake_pool::makeLeader()
{
    batch_controller::group_link link;
    link.propose = [this](std::string payload, const command_queue::callback& done) {
        asio::post(m_context, [this, payload = std::move(payload), done] {
            m_jobs->apply(payload);
            done(proposal_result::Committed);
        });
    };
    link.mayExecute = [] { return true; };
    auto next = std::make_shared<batch_controller>(
        m_context, worker_bounds {}, makeClient(), link, std::make_shared<metric_registry>());
    if (m_jobs) {
        next->loadSnapshot(m_jobs->takeSnapshot());
        m_jobs->stop();
    }
    m_jobs = std::move(next);
    m_jobs->start();
    replica_status status;
    status.role = replica_role::Leader;
    status.ready = true;
    status.term = ++m_term;
    m_jobs->handleStatus(status);
}

void fake_pool::changeLeader() { makeLeader(); }

void fake_pool::report(int address)
{
    auto made = std::make_unique<worker>();
    made->address = address;
    batch::worker_report report;
    report.id = "w" + std::to_string(++m_incarnations);
    report.address = addressOf(address);
    report.service = "pool";
    report.incarnation = m_incarnations;
    report.capacity = { 64'000, 256'000, 8 };
    report.sequence = 1;
    m_workers.emplace(report.id, std::move(made));
    reportWorker(*m_jobs, report, [](call_result) {});
}

void fake_pool::submit(const std::string& id, std::uint32_t tasks, std::int64_t accelerators)
{
    batch::job_request request;
    request.id = id;
    batch::step_spec step;
    step.count = tasks;
    step.demand = { 1'000, 1'000, accelerators };
    step.estimateMs = 2'000;
    request.steps = { step };
    runUntil([this] { return m_jobs->state().config.version == 1; });
    const batch::resolved_call resolved { &m_jobs->state().config.queues.front(), "main", id };
    submitJob(*m_jobs, request, resolved, [](call_result) {});
    runUntil([this, id] { return m_jobs->state().jobs.contains(id); });
}

void fake_pool::crash(const std::string& id)
{
    auto& crashed = *m_workers.at(id);
    crashed.isAlive = false;
    crashed.running.clear();
    if (crashed.heldPoll)
        asio::post(m_context, std::exchange(crashed.heldPoll, {}));
    m_crashed.push_back(crashed.address);
}

void fake_pool::runOnce()
{
    m_context.restart();
    m_context.run_for(turn);
    for (const auto address : std::exchange(m_crashed, {}))
        report(address);
}

bool fake_pool::runUntil(const std::function<bool()>& condition)
{
    for (int i = 0; i < maxTurns && !condition(); ++i)
        runOnce();
    return condition();
}

std::string fake_pool::workerOf(const batch::task_ref& task) const
{
    for (auto i = m_starts.size(); i-- > 0;) {
        if (m_starts[i].run.task == task)
            return m_startedOn[i];
    }
    return {};
}

int fake_pool::startsOf(const batch::task_ref& task) const
{
    return static_cast<int>(std::count_if(
        m_starts.begin(), m_starts.end(), [&](const start_request& start) { return start.run.task == task; }));
}

worker_client fake_pool::makeClient()
{
    const auto reply = [this](const std::string& id, const auto& done) {
        const auto found = m_workers.find(id);
        const bool isAlive = found != m_workers.end() && found->second->isAlive;
        asio::post(m_context, [isAlive, done] {
            done({ isAlive ? worker_reply::Done : worker_reply::NoResponse,
                isAlive ? std::optional(workerClockMs) : std::nullopt, {} });
        });
    };
    worker_client client;
    client.start = [this, reply](const worker_target& target, const start_request& request,
                       const std::function<void(worker_result)>& done) {
        m_starts.push_back(request);
        m_startedOn.push_back(target.id);
        if (m_deadlyBeforeResponse.contains(request.run.task))
            crash(target.id);
        reply(target.id, done);
        if (!m_workers.at(target.id)->isAlive)
            return;
        m_workers.at(target.id)->running.push_back({ request.run, {}, 0 });
        if (m_deadly.contains(request.run.task))
            asio::post(m_context, [this, id = target.id] { crash(id); });
    };
    client.stop = [this, reply](const worker_target& target, const stop_request& request,
                      const std::function<void(worker_result)>& done) {
        std::erase_if(
            m_workers.at(target.id)->running, [&](const reported_run& running) { return running.run == request.run; });
        reply(target.id, done);
    };
    client.poll = [this](const worker_target& target, const poll_request& request,
                      const std::function<void(poll_response)>& done) {
        auto* const polled = m_workers.at(target.id).get();
        const auto respond = [polled, done] {
            if (polled->isAlive)
                done({ { worker_reply::Done, workerClockMs, {} }, 0, polled->running, {} });
            else
                done({ { worker_reply::NoResponse, std::nullopt, {} }, 0, {}, {} });
        };
        if (request.wait.count() > 0 && polled->isAlive)
            polled->heldPoll = respond;
        else
            asio::post(m_context, respond);
    };
    return client;
}

} // namespace chervilport::control_tests
