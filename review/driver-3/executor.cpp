#include "review/driver-3/executor.h"

#include "review/driver-3/record.h"
#include "review/driver-3/run_ledger.h"

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace chervilport::review {

namespace {

    using namespace std::chrono_literals;

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int misdirected = 421;
    /// Number of ends that a list holds at most.
    constexpr std::size_t maxListedEnds = 500;
    /// Percent of a task that ends, which is a rough figure, and of one that lasts.
    constexpr int halfDone = 50;
    constexpr int atWork = 100;
    constexpr std::int64_t maxWaitMs = 2'000;
    constexpr auto workInterval = 5ms;
    constexpr auto readSlice = 200ms;
    constexpr auto beatTimeout = 1s;

    std::int64_t wallMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

} // namespace

executor::executor(executor_options options, record& log, run_ledger& ledger)
    : m_options(std::move(options))
    , m_log(log)
    , m_ledger(ledger)
    , m_listener(listenOn(m_options.ip))
    , m_address(m_options.ip + ':' + std::to_string(localPortOf(m_listener)))
{
    begin(m_options.clockError);
    m_threads.emplace_back([this] { accept(); });
    m_threads.emplace_back([this] { work(); });
    m_threads.emplace_back([this] { sendBeats(); });
}

executor::~executor()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        ++m_life;
        m_changed.notify_all();
    }
    for (auto& each : m_threads)
        each.join();
    for (auto& each : m_connections)
        each.join();
}

void executor::crash()
{
    const std::lock_guard lock(m_mutex);
    m_log.add("executor " + m_options.id + " crashes with " + std::to_string(m_runs.size()) + " runs");
    for (const auto& [task, run] : m_runs)
        m_ledger.end(task, run.run, m_options.id, "crashed");
    m_runs.clear();
    m_ends.clear();
    m_isUp = false;
    ++m_life;
    m_changed.notify_all();
}

void executor::restart(std::chrono::milliseconds clockError)
{
    const std::lock_guard lock(m_mutex);
    begin(clockError);
}

void executor::begin(std::chrono::milliseconds clockError)
{
    ++m_life;
    m_isUp = true;
    m_born = wallMs() + clockError.count();
    m_bornAt = clock::now();
    m_sequence = 0;
    m_token = 0;
    m_leaseUntilMs = 0;
    m_lastEnd = 0;
    m_highestEnded.clear();
    m_log.add("executor " + m_options.id + " begins a life at " + m_address + ", born " + std::to_string(m_born));
    m_changed.notify_all();
}

void executor::accept()
{
    while (!m_isStopping) {
        pollfd waiting { m_listener.descriptor(), POLLIN, 0 };
        if (::poll(&waiting, 1, static_cast<int>(std::chrono::milliseconds(readSlice).count())) <= 0)
            continue;
        tcp_socket accepted(::accept(m_listener.descriptor(), nullptr, nullptr));
        const std::lock_guard lock(m_mutex);
        // A machine whose executor has crashed resets the connection.
        if (!accepted.isOpen() || !m_isUp)
            continue;
        const std::lock_guard connectionsLock(m_connectionsMutex);
        m_connections.emplace_back([this, socket = std::move(accepted), life = m_life] { serve(socket, life); });
    }
}

void executor::serve(const tcp_socket& socket, std::uint64_t life)
{
    std::string buffer;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_life != life)
                return;
        }
        pollfd waiting { socket.descriptor(), POLLIN, 0 };
        if (buffer.empty() && ::poll(&waiting, 1, static_cast<int>(std::chrono::milliseconds(readSlice).count())) <= 0)
            continue;
        const auto request = readRequest(socket, buffer, 5s);
        if (!request)
            return;
        const auto response = answer(*request, life);
        if (!response || !writeResponse(socket, *response))
            return;
    }
}

std::optional<http_response> executor::answer(const http_request& request, std::uint64_t life)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    std::unique_lock lock(m_mutex);
    if (m_life != life)
        return std::nullopt;
    if (request.method == "GET")
        return reply(request.path == "/health" ? ok : notFound, {});
    const auto expected = request.headers.find("x-chervilport-expect-instance");
    if (expected != request.headers.end() && expected->second != m_options.id)
        return reply(misdirected, {});
    if (!body.is_object())
        return reply(badRequest, {});
    if (!takeToken(body))
        return reply(conflict, { { "reason", "fence" } });
    if (request.path == "/v1/run-start")
        return startRun(body);
    if (request.path == "/v1/run-stop")
        return stopRun(body);
    if (request.path != "/v1/hold")
        return reply(notFound, {});
    auto response = hold(lock, body, life);
    if (m_life != life)
        return std::nullopt;
    return response;
}

http_response executor::startRun(const nlohmann::json& body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::uint64_t { 0 });
    const auto until = body.value("until_ms", std::int64_t { 0 });
    if (until <= clockMs())
        return reply(conflict, { { "reason", "late" } });
    extendLease(until);
    const auto active = m_runs.find(task);
    if (active != m_runs.end() && active->second.run == run)
        return reply(ok, {});
    const auto ended = m_highestEnded.find(task);
    if ((ended != m_highestEnded.end() && run <= ended->second) || (active != m_runs.end()))
        return reply(conflict, { { "reason", "old" } });
    active_run begun { run, clock::now(), {}, {} };
    if (const auto duration = m_options.workOf(task))
        begun.endsAt = begun.startedAt + *duration;
    m_runs[task] = begun;
    m_ledger.start(task, run, m_options.id);
    return reply(ok, {});
}

http_response executor::stopRun(const nlohmann::json& body)
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::uint64_t { 0 });
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    const auto active = m_runs.find(task);
    if (active != m_runs.end() && active->second.run <= run && !active->second.stopsAt)
        active->second.stopsAt = clock::now() + m_options.stopTime;
    return reply(ok, {});
}

http_response executor::hold(std::unique_lock<std::mutex>& lock, const nlohmann::json& body, std::uint64_t life)
{
    extendLease(body.value("until_ms", std::int64_t { 0 }));
    acknowledge(body.value("ack_cursor", std::uint64_t { 0 }));
    const auto wait = std::min(body.value("wait_ms", std::int64_t { 0 }), maxWaitMs);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !m_ends.empty() || m_life != life; });
    return reply(ok, lists());
}

nlohmann::json executor::lists() const
{
    auto running = nlohmann::json::array();
    for (const auto& [task, run] : m_runs)
        running.push_back({ task, run.run, "", run.endsAt ? halfDone : atWork, 0 });
    auto finished = nlohmann::json::array();
    for (const auto& end : m_ends) {
        if (finished.size() < maxListedEnds)
            finished.push_back({ end.number, end.task, end.run, end.how, "" });
    }
    return { { "running", running }, { "finished", finished } };
}

http_response executor::reply(int status, nlohmann::json body) const
{
    if (!body.is_object())
        body = nlohmann::json::object();
    body["clock_ms"] = clockMs();
    body["born"] = m_born;
    return { status, body.dump() };
}

bool executor::takeToken(const nlohmann::json& body)
{
    const auto token = body.value("fencing_token", std::uint64_t { 0 });
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void executor::extendLease(std::int64_t untilMs)
{
    m_leaseUntilMs = std::max(m_leaseUntilMs, std::min(untilMs, clockMs() + m_options.maxLease.count()));
}

void executor::acknowledge(std::uint64_t cursor)
{
    for (const auto& end : m_ends) {
        if (end.number <= cursor)
            m_ledger.note(end.task, end.run, m_options.id);
    }
    std::erase_if(m_ends, [&](const listed_end& end) { return end.number <= cursor; });
}

void executor::endRun(const std::string& task, const std::string& how)
{
    const auto run = m_runs.at(task).run;
    m_runs.erase(task);
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, run);
    m_ends.push_back({ ++m_lastEnd, task, run, how });
    m_ledger.end(task, run, m_options.id, how);
    m_changed.notify_all();
}

std::int64_t executor::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_bornAt).count();
}

void executor::work()
{
    while (!m_isStopping) {
        std::this_thread::sleep_for(workInterval);
        const std::lock_guard lock(m_mutex);
        if (!m_isUp)
            continue;
        const auto now = clock::now();
        std::vector<std::pair<std::string, std::string>> ended;
        const bool hasLapsed = !m_runs.empty() && clockMs() > m_leaseUntilMs;
        for (const auto& [task, run] : m_runs) {
            if (run.endsAt && now >= *run.endsAt)
                ended.emplace_back(task, m_options.failsAt(task) ? "failed" : "done");
            else if (run.stopsAt && now >= *run.stopsAt)
                ended.emplace_back(task, "stopped");
            else if (hasLapsed)
                ended.emplace_back(task, "lapsed");
        }
        for (const auto& [task, how] : ended)
            endRun(task, how);
        if (clockMs() <= m_leaseUntilMs)
            continue;
        for (const auto& end : m_ends)
            m_ledger.lapse(end.task, end.run, m_options.id);
    }
}

std::string executor::describe()
{
    const nlohmann::json body { { "service", m_options.service }, { "address", m_address }, { "zone", m_options.zone },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
        { "capacity",
            { { "cpu", m_options.milliCores }, { "mem_mb", m_options.memoryMb }, { "gpu", m_options.accelerators } } },
        { "labels", { m_options.kind, m_options.rack } }, { "clock_ms", clockMs() }, { "born", m_born },
        { "seq", ++m_sequence }, { "machine", "m-" + m_options.id } };
    return body.dump();
}

void executor::sendBeats()
{
    std::string target;
    std::size_t next = 0;
    while (!m_isStopping) {
        std::optional<std::string> body;
        {
            std::unique_lock lock(m_mutex);
            if (m_isUp)
                body = describe();
        }
        if (body) {
            const auto all = m_options.controlAddresses();
            if (target.empty())
                target = all[next++ % all.size()];
            const auto response = exchange(target, { "PUT", "/v1/instances/" + m_options.id, {}, *body }, beatTimeout);
            if (!response || response->status / 100 != 2) {
                // The next node is called at once.
                target.clear();
                std::this_thread::sleep_for(100ms);
                continue;
            }
            const auto answered = nlohmann::json::parse(response->body, nullptr, false);
            if (answered.is_object() && answered.contains("heartbeat_url"))
                target = answered["heartbeat_url"].get<std::string>();
        }
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, m_options.beat, [this, life = m_life] { return m_isStopping || m_life != life; });
    }
}

} // namespace chervilport::review
