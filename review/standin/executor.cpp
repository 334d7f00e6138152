#include "review/standin/executor.h"

#include <algorithm>

namespace review {

namespace {

    using namespace std::chrono_literals;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int conflict = 409;
    constexpr int misdirected = 421;
    constexpr std::size_t maxListedEnds = 500;
    constexpr std::int64_t maxWaitMs = 2'000;
    constexpr int fullPercent = 100;
    constexpr const char* lastingSpec = "lasting";

} // namespace

executor::executor(executor_options options, record& output)
    : m_options(std::move(options))
    , m_record(output)
    , m_born(wallMs())
    , m_begin(std::chrono::steady_clock::now())
    , m_listener(std::make_unique<http_listener>(
          m_options.ip, [this](const http_request& request) { return handle(request); }))
    , m_ticker([this] {
        while (!m_isStopped) {
            tick();
            std::this_thread::sleep_for(5ms);
        }
    })
{
}

executor::~executor()
{
    m_isStopped = true;
    m_changed.notify_all();
    m_listener.reset();
    if (m_ticker.joinable())
        m_ticker.join();
    if (m_beater.joinable())
        m_beater.join();
    // Handlers that still run finish within the longest wait of a poll.
    std::this_thread::sleep_for(100ms);
}

void executor::start()
{
    m_beater = std::thread([this] {
        while (!m_isStopped) {
            beat();
            const auto next = std::chrono::steady_clock::now() + m_options.heartbeat;
            while (!m_isStopped && std::chrono::steady_clock::now() < next)
                std::this_thread::sleep_for(20ms);
        }
    });
}

bool executor::beat()
{
    const std::lock_guard beatLock(m_beatMutex);
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasLeft)
            return false;
    }
    // The named address is used until a heartbeat fails there; then the next node of the list is called.
    for (std::size_t attempt = 0; attempt <= m_options.control.size() && !m_isStopped; ++attempt) {
        const bool isNamed = !m_heartbeatUrl.empty();
        const auto node = isNamed ? m_heartbeatUrl : m_options.control[m_nextNode % m_options.control.size()];
        if (sendHeartbeat(node) == ok)
            return true;
        if (isNamed)
            m_heartbeatUrl.clear();
        else
            ++m_nextNode;
    }
    return false;
}

int executor::sendHeartbeat(const std::string& node)
{
    std::string body;
    {
        const std::lock_guard lock(m_mutex);
        body = describe().dump();
    }
    const auto response = call(node, { "PUT", "/v1/instances/" + m_options.id, {}, body }, 1s);
    const auto parsed = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == ok && parsed.is_object() && parsed.contains("heartbeat_url"))
        m_heartbeatUrl = parsed["heartbeat_url"].get<std::string>();
    return response.status;
}

nlohmann::json executor::describe()
{
    nlohmann::json body { { "service", m_options.service }, { "address", address() }, { "zone", m_options.zone },
        { "version", "v1" }, { "slots", 8 }, { "state", m_isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 },
        { "capacity", { { "cpu", m_options.cpu }, { "mem_mb", m_options.memoryMb }, { "gpu", m_options.gpu } } },
        { "labels", { "a", m_options.rack } }, { "clock_ms", clockMs() }, { "born", m_born }, { "seq", ++m_sequence } };
    if (m_isDraining)
        body["drain_remaining_ms"] = m_options.drain.count();
    return body;
}

bool executor::drain()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
    }
    const bool isAcknowledged = beat();
    m_record.line(m_options.id + " drains" + (isAcknowledged ? ", acknowledged" : ", not acknowledged"));
    return isAcknowledged;
}

bool executor::leave(const std::vector<std::string>& nodes)
{
    {
        const std::lock_guard beatLock(m_beatMutex);
        const std::lock_guard lock(m_mutex);
        m_hasLeft = true;
    }
    for (const auto& node : nodes) {
        const auto response = call(node, { "DELETE", "/v1/instances/" + m_options.id, {}, {} }, 1s);
        m_record.line(
            "DELETE /v1/instances/" + m_options.id + " to " + node + " -> " + std::to_string(response.status));
        if (response.status == ok)
            return true;
    }
    return false;
}

void executor::restart()
{
    m_listener->closeConnections();
    {
        const std::lock_guard beatLock(m_beatMutex);
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        for (const auto& [key, state] : m_running)
            m_events.push_back({ m_options.id, key.first, key.second, "ended with its executor", now });
        m_heartbeatUrl.clear();
        m_running.clear();
        m_highestEnded.clear();
        m_ends.clear();
        m_lastEnd = 0;
        m_sequence = 0;
        m_fencingToken = 0;
        m_leaseUntilMs = 0;
        m_born = wallMs();
        m_begin = now;
        m_isDraining = false;
        m_hasLeft = false;
    }
    m_record.line(m_options.id + " has started again under its id, born " + std::to_string(m_born));
    beat();
}

std::vector<run_event> executor::events() const
{
    const std::lock_guard lock(m_mutex);
    return m_events;
}

bool executor::endTask(const std::string& task, const std::string& how)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.lower_bound({ task, 0 });
    if (found == m_running.end() || found->first.first != task)
        return false;
    const auto key = found->first;
    end(key, how);
    return true;
}

bool executor::isRunning(const std::string& task) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.lower_bound({ task, 0 });
    return found != m_running.end() && found->first.first == task;
}

std::size_t executor::runningCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_running.size();
}

std::int64_t executor::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin).count();
}

http_response executor::answer(int status, nlohmann::json body) const
{
    body["clock_ms"] = clockMs();
    body["born"] = m_born;
    return { status, body.dump(), {} };
}

std::optional<http_response> executor::handle(const http_request& request)
{
    std::unique_lock lock(m_mutex);
    const auto expected = request.headers.find("x-chervilport-expect-instance");
    if (expected != request.headers.end() && expected->second != m_options.id)
        return answer(misdirected, nlohmann::json::object());
    auto response = execute(request, lock);
    if (m_isStopped)
        return std::nullopt;
    return response;
}

http_response executor::execute(const http_request& request, std::unique_lock<std::mutex>& lock)
{
    // The executor considers itself healthy.
    if (request.method == "GET")
        return answer(ok, nlohmann::json::object());
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer(badRequest, nlohmann::json::object());
    const auto token = body.value("fencing_token", std::uint64_t { 0 });
    if (token < m_fencingToken)
        return answer(conflict, { { "reason", "fence" } });
    m_fencingToken = token;
    if (request.target == "/v1/run-start")
        return begin(body);
    if (request.target == "/v1/run-stop")
        return stop(body);
    if (request.target == "/v1/hold")
        return hold(body, lock);
    return answer(badRequest, nlohmann::json::object());
}

void executor::extendLease(std::int64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_options.maxLease.count()));
}

http_response executor::begin(const nlohmann::json& body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", 0);
    const auto until = body.value("until_ms", std::int64_t { 0 });
    if (until <= clockMs())
        return answer(conflict, { { "reason", "late" } });
    extendLease(until);
    if (m_running.contains({ task, run }))
        return answer(ok, nlohmann::json::object());
    const auto ended = m_highestEnded.find(task);
    if (ended != m_highestEnded.end() && run <= ended->second)
        return answer(conflict, { { "reason", "old" } });
    const auto spec = body.value("spec", std::string("0"));
    const auto now = std::chrono::steady_clock::now();
    run_state state { now, std::nullopt, std::nullopt };
    if (spec != lastingSpec)
        state.work = std::chrono::milliseconds(std::stoll(spec));
    m_running[{ task, run }] = state;
    m_events.push_back({ m_options.id, task, run, "start", now });
    m_record.line(m_options.id + " starts " + task + " run " + std::to_string(run));
    return answer(ok, nlohmann::json::object());
}

http_response executor::stop(const nlohmann::json& body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", 0);
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    for (auto& [key, state] : m_running) {
        if (key.first == task && key.second <= run && !state.stopAt)
            state.stopAt = std::chrono::steady_clock::now() + m_options.stopTime;
    }
    return answer(ok, nlohmann::json::object());
}

http_response executor::hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock)
{
    extendLease(body.value("until_ms", std::int64_t { 0 }));
    const auto cursor = body.value("ack_cursor", std::uint64_t { 0 });
    for (const auto& each : m_ends) {
        if (each.number <= cursor)
            m_events[each.event].isAcknowledged = true;
    }
    std::erase_if(m_ends, [cursor](const listed_end& each) { return each.number <= cursor; });
    const auto wait = std::chrono::milliseconds(std::min(body.value("wait_ms", std::int64_t { 0 }), maxWaitMs));
    m_changed.wait_for(lock, wait, [this] { return !m_ends.empty() || m_isStopped; });
    auto running = nlohmann::json::array();
    for (const auto& [key, state] : m_running)
        running.push_back({ key.first, key.second, "", percentOf(state), 0 });
    auto finished = nlohmann::json::array();
    for (const auto& each : m_ends) {
        if (finished.size() < maxListedEnds)
            finished.push_back({ each.number, each.task, each.run, each.how, "" });
    }
    return answer(ok, { { "running", running }, { "finished", finished } });
}

void executor::end(const run_key& key, const std::string& how)
{
    const auto [task, run] = key;
    m_running.erase(key);
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    m_events.push_back({ m_options.id, task, run, how, std::chrono::steady_clock::now() });
    m_ends.push_back({ ++m_lastEnd, task, run, how, m_events.size() - 1 });
    m_record.line(m_options.id + " ends " + task + " run " + std::to_string(run) + ": " + how);
    m_changed.notify_all();
}

int executor::percentOf(const run_state& state)
{
    if (!state.work || state.work->count() == 0)
        return fullPercent;
    const auto elapsed = std::chrono::steady_clock::now() - state.startedAt;
    const auto percent = fullPercent * std::chrono::duration_cast<std::chrono::milliseconds>(elapsed) / *state.work;
    return static_cast<int>(std::min<std::int64_t>(percent, fullPercent));
}

void executor::tick()
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const bool isExpired = clockMs() > m_leaseUntilMs;
    const auto running = m_running;
    for (const auto& [key, state] : running) {
        if (isExpired)
            end(key, "lapsed");
        else if (state.stopAt && now >= *state.stopAt)
            end(key, "stopped");
        else if (!state.stopAt && state.work && now >= state.startedAt + *state.work)
            end(key, "done");
    }
}

} // namespace review
