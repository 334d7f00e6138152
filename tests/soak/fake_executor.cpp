#include "tests/soak/fake_executor.h"

#include "tests/soak/invariant_checker.h"

#include <algorithm>
#include <utility>

namespace chervilport::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int conflict = 409;
    constexpr int incarnationMismatch = 421;
    /// Probability that an active `losesResponses` or `delaysRequests` affects a request.
    constexpr double faultProbability = 0.5;
    constexpr auto minRequestDelay = 2s;
    constexpr auto maxRequestDelay = 6s;
    /// Working time after which a run fails while `failsRuns` is active.
    constexpr auto failDelay = 100ms;
    constexpr std::size_t maxReportedEnds = 500;
    /// The clocks of successive incarnations start apart by this step, within this range, so that a clock is ahead of
    /// that of the earlier incarnation or behind it.
    constexpr auto clockStep = 370s;
    constexpr auto clockRange = 900s;

    http_response json(int status, const nlohmann::json& body)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

} // namespace

fake_executor::fake_executor(asio::io_context& context, invariant_checker& checker, std::string baseId,
    std::uint64_t seed, executor_bounds bounds)
    : m_context(context)
    , m_checker(checker)
    , m_baseId(std::move(baseId))
    , m_random(seed)
    , m_bounds(bounds)
    , m_server(std::make_unique<executor_server>(
          context, [this](const http_request& request, const executor_server::responder& reply) {
              handleRequest(request, reply);
          }))
{
    beginIncarnation(false);
}

fake_executor::~fake_executor() = default;

void fake_executor::crash()
{
    for (const auto& [task, run] : m_runs)
        m_checker.recordEnd(task, "crashed");
    m_runs.clear();
    m_ends.clear();
    m_waitingPolls.clear();
}

void fake_executor::beginIncarnation(bool keepsId)
{
    crash();
    if (!keepsId || m_id.empty())
        m_id = m_baseId + '-' + std::to_string(++m_idSuffix);
    m_incarnationStart = std::chrono::steady_clock::now();
    m_clockStart = clockStep * ++m_incarnations % clockRange;
    m_incarnation
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    m_sequence = 0;
    m_fencingToken = 0;
    m_leaseUntilMs = 0;
    m_lastEnd = 0;
    m_highestEndedRuns.clear();
    isDraining = false;
}

std::int64_t fake_executor::clockMs() const
{
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_incarnationStart);
    return (m_clockStart + age).count();
}

nlohmann::json fake_executor::describe(
    const std::string& address, const std::string& failureDomain, const std::string& rack)
{
    nlohmann::json body { { "service", "planner" }, { "address", address }, { "zone", failureDomain },
        { "version", "v1" }, { "slots", 8 }, { "state", isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 },
        { "labels", { "a", rack } }, { "machine", m_baseId }, { "clock_ms", clockMs() }, { "born", m_incarnation },
        { "seq", ++m_sequence } };
    body["capacity"] = { { "cpu", milliCores }, { "mem_mb", memoryMb }, { "gpu", accelerators } };
    if (isDraining) {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(leavesAt - std::chrono::steady_clock::now());
        body["drain_remaining_ms"] = std::max<std::int64_t>(0, left.count());
    }
    return body;
}

fake_executor::run_state* fake_executor::findRun(const task_name& task)
{
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? nullptr : &found->second;
}

// --- requests -------------------------------------------------------------------------------------------------------

void fake_executor::handleRequest(const http_request& request, const executor_server::responder& reply)
{
    if (faults.down > 0)
        return;
    // Execute the request later without a response while requests are delayed.
    std::bernoulli_distribution isAffected(faultProbability);
    if (faults.delaysRequests > 0 && request.target != "/v1/hold" && isAffected(m_random)) {
        std::uniform_int_distribution<std::int64_t> wait(
            std::chrono::milliseconds(minRequestDelay).count(), std::chrono::milliseconds(maxRequestDelay).count());
        auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(wait(m_random)));
        timer->async_wait([this, timer, request, incarnation = m_incarnation, reply](const std::error_code& error) {
            if (!error && faults.down == 0 && incarnation == m_incarnation)
                execute(request);
        });
        return;
    }
    // Refuse requests for another executor id.
    const auto expected = findHeader(request.headers, "X-Chervilport-Expect-Instance");
    if (expected == foreignId && request.target == "/v1/run-start")
        m_checker.reportViolation("a worker of a foreign service gets no runs", request.body);
    if (expected != m_id) {
        reply.send(json(incarnationMismatch, { { "clock_ms", clockMs() } }));
        return;
    }
    // Execute the request; then drop the response, delay it until a run ends or `wait_ms` have passed, or send it.
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const auto wait = body.is_object() ? body.value("wait_ms", std::int64_t { 0 }) : 0;
    auto response = execute(request);
    if (faults.losesResponses > 0 && isAffected(m_random))
        return;
    if (request.target == "/v1/hold" && response.status == ok && wait > 0 && m_ends.empty()) {
        m_waitingPolls.push_back({ reply, std::chrono::steady_clock::now() + std::chrono::milliseconds(wait) });
        return;
    }
    reply.send(std::move(response));
}

http_response fake_executor::execute(const http_request& request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return json(badRequest, { { "clock_ms", clockMs() } });
    if (!acceptFencingToken(body))
        return json(conflict, { { "clock_ms", clockMs() }, { "reason", "fence" } });
    if (request.target == "/v1/run-start")
        return start(body);
    if (request.target == "/v1/run-stop")
        return stop(body);
    extendLease(body.value("until_ms", std::int64_t { 0 }));
    acknowledge(body.value("ack_cursor", std::uint64_t { 0 }));
    return json(ok, pollBody());
}

bool fake_executor::acceptFencingToken(const nlohmann::json& body)
{
    const auto fencingToken = body.value("fencing_token", std::uint64_t { 0 });
    if (fencingToken < m_fencingToken)
        return false;
    m_fencingToken = fencingToken;
    return true;
}

void fake_executor::extendLease(std::int64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_bounds.maxLease.count()));
}

http_response fake_executor::start(const nlohmann::json& body)
{
    const auto task = parseTaskName(body.value("task", std::string()));
    const auto run = body.value("run", std::uint32_t { 0 });
    if (!task || run == 0)
        return json(badRequest, { { "clock_ms", clockMs() } });
    // Refuse a start whose lease has expired.
    const auto until = body.value("until_ms", std::int64_t { 0 });
    if (until <= clockMs())
        return json(conflict, { { "clock_ms", clockMs() }, { "reason", "late" } });
    extendLease(until);
    // Accept a repeated start of the same run; refuse a run that is not newer than an ended or running one.
    const auto* const current = findRun(*task);
    if (current != nullptr && current->run == run)
        return json(ok, { { "clock_ms", clockMs() } });
    const auto highestEnded = m_highestEndedRuns.find(*task);
    if ((highestEnded != m_highestEndedRuns.end() && run <= highestEnded->second)
        || (current != nullptr && run < current->run))
        return json(conflict, { { "clock_ms", clockMs() }, { "reason", "old" } });
    m_checker.recordStart(*task, run, body.value("spec", std::string()), m_id);
    m_runs[*task] = { run, std::chrono::steady_clock::now(), std::nullopt, std::nullopt };
    checkCapacity(*task);
    return json(ok, { { "clock_ms", clockMs() } });
}

void fake_executor::checkCapacity(const task_name& added)
{
    std::int64_t cores = 0;
    std::int64_t memory = 0;
    std::int64_t used = 0;
    for (const auto& [task, run] : m_runs) {
        const auto* const step = m_checker.findStep(task);
        if (step == nullptr)
            continue;
        cores += step->milliCores;
        memory += step->memoryMb;
        used += step->accelerators;
    }
    if (cores > milliCores || memory > memoryMb || used > accelerators)
        m_checker.reportViolation("an executor is not given more than its capacity", toText(added) + " on " + m_id);
}

http_response fake_executor::stop(const nlohmann::json& body)
{
    const auto task = parseTaskName(body.value("task", std::string()));
    const auto run = body.value("run", std::uint32_t { 0 });
    if (!task || run == 0)
        return json(badRequest, { { "clock_ms", clockMs() } });
    auto& highestEnded = m_highestEndedRuns[*task];
    highestEnded = std::max(highestEnded, run);
    auto* const current = findRun(*task);
    if (current != nullptr && current->run <= run && !current->stopAt) {
        std::uniform_int_distribution<std::int64_t> stopTime(0, m_bounds.maxStopTime.count());
        current->stopAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(stopTime(m_random));
    }
    return json(ok, { { "clock_ms", clockMs() } });
}

nlohmann::json fake_executor::pollBody() const
{
    auto running = nlohmann::json::array();
    for (const auto& [task, run] : m_runs)
        running.push_back({ toText(task), run.run, "", 0, 0 });
    auto finished = nlohmann::json::array();
    for (const auto& end : m_ends) {
        if (finished.size() < maxReportedEnds)
            finished.push_back({ end.number, toText(end.task), end.run, end.kind, "" });
    }
    return { { "clock_ms", clockMs() }, { "born", m_incarnation }, { "running", running }, { "finished", finished } };
}

void fake_executor::acknowledge(std::uint64_t cursor)
{
    for (const auto& end : m_ends) {
        if (end.number <= cursor && end.kind == "done" && !end.hasLeaseExpired)
            m_checker.recordAcknowledgedEnd(end.task);
    }
    std::erase_if(m_ends, [&](const reported_end& end) { return end.number <= cursor; });
}

// --- time -----------------------------------------------------------------------------------------------------------

void fake_executor::endRun(const task_name& task, const std::string& kind)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return;
    const auto run = found->second.run;
    m_runs.erase(found);
    auto& highestEnded = m_highestEndedRuns[task];
    highestEnded = std::max(highestEnded, run);
    m_ends.push_back({ ++m_lastEnd, task, run, kind });
    m_checker.recordEnd(task, kind);
}

void fake_executor::expireOverdueLease()
{
    if (faults.down > 0 || m_runs.empty() || clockMs() <= m_leaseUntilMs)
        return;
    for (auto& end : m_ends)
        end.hasLeaseExpired = true;
    while (!m_runs.empty()) {
        // Copy the name: endRun removes the key from the map.
        const auto task = m_runs.begin()->first;
        endRun(task, "lapsed");
    }
}

void fake_executor::tick(steady_time now)
{
    if (faults.down > 0)
        return;
    const auto runs = m_runs;
    for (const auto& [task, run] : runs) {
        const auto* const step = m_checker.findStep(task);
        const auto work = step == nullptr ? 0ms : step->work;
        if (run.stopAt && now >= *run.stopAt)
            endRun(task, "stopped");
        else if (faults.failsRuns > 0 && run.workingSince && now >= *run.workingSince + failDelay)
            endRun(task, "failed");
        else if (run.workingSince && now >= *run.workingSince + work && (step == nullptr || !step->isGang))
            endRun(task, "done");
    }
    respondToPolls(!m_ends.empty());
}

void fake_executor::respondToPolls(bool all)
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<waiting_poll> due;
    std::erase_if(m_waitingPolls, [&](const waiting_poll& poll) {
        if (!all && now < poll.until)
            return false;
        due.push_back(poll);
        return true;
    });
    for (const auto& poll : due)
        poll.reply.send(json(ok, pollBody()));
}

} // namespace chervilport::soak
