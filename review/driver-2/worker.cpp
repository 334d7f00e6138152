#include "worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {

namespace {

    using nlohmann::json;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int refused = 409;
    constexpr int misdirected = 421;
    /// Time that a stop takes.
    constexpr std::int64_t stopMs = 100;
    constexpr std::chrono::milliseconds tickInterval { 10 };
    /// Time after which a heartbeat without a response goes to the next machine.
    constexpr std::chrono::milliseconds heartbeatTimeout { 1'000 };
    constexpr std::size_t maxListedEnds = 500;
    /// Cores in use of each task; the tasks of the cases declare as much.
    constexpr int milliCoresInUse = 1'000;

    std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

} // namespace

worker::worker(worker_settings settings, record& written, run_board& board)
    : m_settings(std::move(settings))
    , m_record(written)
    , m_board(board)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_server(std::make_unique<http_server>(
          endpoint { m_settings.ip, 0 }, [this](const request& received) { return serve(received); }))
{
    m_ticker = std::thread([this] {
        while (!m_stopped) {
            tick();
            std::this_thread::sleep_for(tickInterval);
        }
    });
    m_heart = std::thread([this] { beat(); });
}

worker::~worker() { stop(); }

void worker::stop()
{
    if (m_stopped.exchange(true))
        return;
    m_changed.notify_all();
    m_server->stop();
    m_ticker.join();
    m_heart.join();
}

std::size_t worker::startsOf(const std::string& job) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_starts.find(job);
    return found == m_starts.end() ? 0 : found->second;
}

std::size_t worker::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

std::int64_t worker::clockMs() const
{
    constexpr std::int64_t firstMs = 1'000;
    return firstMs
        + std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin).count();
}

response worker::conflict(const char* reason) const
{
    return { refused, {}, json { { "clock_ms", clockMs() }, { "reason", reason } }.dump() };
}

response worker::serve(const request& received)
{
    std::unique_lock lock(m_mutex);
    const auto expected = received.headers.find("x-chervilport-expect-instance");
    if (expected != received.headers.end() && expected->second != m_settings.id)
        return { misdirected, {}, json { { "clock_ms", clockMs() } }.dump() };
    const auto body = json::parse(received.body, nullptr, false);
    if (!body.is_object())
        return { badRequest, {}, json { { "clock_ms", clockMs() } }.dump() };
    const auto token = body.value("fencing_token", std::uint64_t { 0 });
    if (token < m_token)
        return conflict("fence");
    m_token = token;
    if (received.path == "/v1/run-start")
        return startRun(body);
    if (received.path == "/v1/run-stop")
        return stopRun(body);
    return hold(lock, body);
}

void worker::extendLease(std::int64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_settings.maxLease.count()));
}

response worker::startRun(const json& body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::uint32_t { 0 });
    const auto untilMs = body.value("until_ms", std::int64_t { 0 });
    if (untilMs <= clockMs())
        return conflict("late");
    extendLease(untilMs);
    const auto current = m_runs.find(task);
    response accepted { ok, {}, json { { "clock_ms", clockMs() } }.dump() };
    if (current != m_runs.end() && current->second.run == run)
        return accepted;
    if (run <= m_highestEnded[task] || (current != m_runs.end() && run < current->second.run))
        return conflict("old");
    if (current != m_runs.end())
        endRun(task, "stopped");
    m_runs[task] = { run, clockMs(), clockMs() + m_settings.work.count(), -1 };
    ++m_starts[jobOf(task)];
    m_board.begin(task, m_settings.id);
    m_record.write("run-start " + m_settings.id + ' ' + task + " run " + std::to_string(run));
    return accepted;
}

response worker::stopRun(const json& body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::uint32_t { 0 });
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    const auto current = m_runs.find(task);
    if (current != m_runs.end() && current->second.run <= run && current->second.stopsAtMs < 0)
        current->second.stopsAtMs = clockMs() + stopMs;
    return { ok, {}, json { { "clock_ms", clockMs() } }.dump() };
}

response worker::hold(std::unique_lock<std::mutex>& lock, const json& body)
{
    if (body.contains("until_ms"))
        extendLease(body["until_ms"].get<std::int64_t>());
    const auto cursor = body.value("ack_cursor", std::uint64_t { 0 });
    std::erase_if(m_ends, [cursor](const run_end& each) { return each.number <= cursor; });
    const std::chrono::milliseconds wait(body.value("wait_ms", std::int64_t { 0 }));
    m_changed.wait_for(lock, wait, [this] { return m_stopped || !m_ends.empty(); });
    json answer { { "clock_ms", clockMs() }, { "born", m_born }, { "running", json::array() },
        { "finished", json::array() } };
    for (const auto& [task, run] : m_runs)
        answer["running"].push_back({ task, run.run, "", percentOf(run), milliCoresInUse });
    for (const auto& end : m_ends) {
        if (answer["finished"].size() < maxListedEnds)
            answer["finished"].push_back({ end.number, end.task, end.run, end.how, "" });
    }
    return { ok, {}, answer.dump() };
}

std::int64_t worker::percentOf(const run_state& run) const
{
    constexpr std::int64_t all = 100;
    return std::min(all, all * (clockMs() - run.startedAtMs) / m_settings.work.count());
}

void worker::endRun(const std::string& task, const std::string& how)
{
    const auto run = m_runs.at(task).run;
    m_runs.erase(task);
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    m_ends.push_back({ ++m_lastEnd, task, run, how });
    m_board.end(task, m_settings.id);
    m_record.write("run-end " + m_settings.id + ' ' + task + " run " + std::to_string(run) + ' ' + how);
    m_changed.notify_all();
}

void worker::tick()
{
    const std::lock_guard lock(m_mutex);
    const auto now = clockMs();
    const auto runs = m_runs;
    for (const auto& [task, run] : runs) {
        if (now > m_leaseUntilMs)
            endRun(task, "lapsed");
        else if (run.stopsAtMs >= 0 && now >= run.stopsAtMs)
            endRun(task, "stopped");
        else if (run.stopsAtMs < 0 && now >= run.endsAtMs)
            endRun(task, "done");
    }
}

void worker::beat()
{
    std::size_t next = m_born % m_settings.control.size();
    endpoint target = m_settings.control[next];
    while (!m_stopped) {
        json body { { "service", m_settings.service }, { "address", toText(m_server->address()) },
            { "zone", m_settings.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "cold_left_ms", 0 }, { "labels", { m_settings.kind, m_settings.rack } },
            { "machine", "m-" + m_settings.id }, { "clock_ms", clockMs() }, { "born", m_born },
            { "seq", ++m_sequence } };
        body["capacity"] = { { "cpu", m_settings.milliCores }, { "mem_mb", m_settings.memoryMb },
            { "gpu", m_settings.accelerators } };
        const auto answer
            = call(target, { "PUT", "/v1/instances/" + m_settings.id, {}, body.dump() }, heartbeatTimeout);
        const bool acknowledged = answer.status >= ok && answer.status < 300;
        if (!acknowledged) {
            next = (next + 1) % m_settings.control.size();
            target = m_settings.control[next];
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        const auto named = json::parse(answer.body, nullptr, false);
        if (named.is_object() && named.contains("heartbeat_url"))
            target = parseEndpoint(named["heartbeat_url"].get<std::string>());
        for (auto waited = std::chrono::milliseconds(0); waited < m_settings.heartbeat && !m_stopped;
             waited += tickInterval)
            std::this_thread::sleep_for(tickInterval);
    }
}

} // namespace review
