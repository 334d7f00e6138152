#include "standins/worker/standin_worker.h"

#include "chervilport/http/http_client.h"
#include "chervilport/http/http_listener.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds announceTimeout { 2'000 };
    constexpr std::chrono::milliseconds retryInterval { 200 };
    constexpr std::chrono::milliseconds checkpointTime { 20 };
    constexpr std::chrono::milliseconds leaseCheckInterval { 50 };
    constexpr int defaultRunMs = 1'000;

    std::uint64_t makeIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

    json parseOrDefault(const std::string& text, json fallback)
    {
        auto parsed = json::parse(text, nullptr, false);
        return parsed.is_discarded() ? std::move(fallback) : parsed;
    }

} // namespace

struct standin_worker::timers {
    explicit timers(asio::io_context& context)
        : announce(context)
        , lease(context)
    {
    }
    asio::steady_timer announce;
    asio::steady_timer lease;
};

standin_worker::standin_worker(asio::io_context& context, http_client& client, standin_worker_options options)
    : m_context(context)
    , m_client(client)
    , m_options(std::move(options))
    , m_timers(std::make_unique<timers>(context))
    , m_incarnation(makeIncarnation())
{
}

standin_worker::~standin_worker() = default;

void standin_worker::start()
{
    m_listener = std::make_unique<http_listener>(m_context, http_listener_settings {},
        [weak = weak_from_this()](const http_request& request, const http_responder& responder) {
            if (const auto self = weak.lock())
                self->handle(request, responder);
        });
    m_listener->open();
    m_address = "127.0.0.1:" + std::to_string(m_listener->port());
    announce();
    checkLease();
}

void standin_worker::handle(const http_request& request, const http_responder& responder)
{
    if (request.target == "/record") {
        responder({ 200, { { "Content-Type", "application/json" } }, recordBody() });
        return;
    }
    if (request.method != "POST" || request.target != "/tasks") {
        responder({ 404, {}, "" });
        return;
    }
    const auto batch = parseOrDefault(request.body, json::object());
    const auto epoch = batch.value("epoch", std::uint64_t { 0 });
    if (epoch < m_epoch) {
        responder(
            { 409, {}, "the epoch " + std::to_string(epoch) + " is older than epoch " + std::to_string(m_epoch) });
        return;
    }
    responder({ 200, {}, "" });
    applyCommands(batch, isNext(batch, epoch));
}

bool standin_worker::isNext(const json& batch, std::uint64_t epoch)
{
    if (batch.value("incarnation", m_incarnation) != m_incarnation)
        return false;
    if (epoch > m_epoch)
        m_lastBatch = 0;
    m_epoch = epoch;
    const auto sequence = batch.value("sequence", m_lastBatch + 1);
    const bool isLater = sequence > m_lastBatch;
    m_lastBatch = std::max(m_lastBatch, sequence);
    return isLater;
}

void standin_worker::applyCommands(const json& batch, bool mayStart)
{
    // Stop tasks always, but start none without a lease: the leader resends the commands once there is a lease.
    for (const auto& item : batch.value("stop", json::array()))
        stopTask(item);
    if (m_hasLease && mayStart) {
        for (const auto& item : batch.value("start", json::array()))
            startTask(item);
    }
    announceChange();
}

void standin_worker::startTask(const json& item)
{
    const task_key key { item.at("job"), item.at("attempt"), item.at("rank") };
    if (m_tasks.contains(key))
        return;

    // Record the task.
    const auto payload = parseOrDefault(item.value("payload", ""), json::object());
    const auto serial = ++m_serial;
    ++m_startedTasks;
    const bool fails = m_options.failsAllTasks || payload.value("fail", false);
    m_tasks[key] = { "running", serial };
    m_maxTasks = std::max(m_maxTasks, static_cast<int>(m_tasks.size()));

    // End it after its run time.
    const auto runTime = std::chrono::milliseconds(payload.value("run_ms", defaultRunMs));
    const auto timer = std::make_shared<asio::steady_timer>(m_context, fails ? retryInterval : runTime);
    timer->async_wait([weak = weak_from_this(), timer, key, serial, fails](const std::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->endTask(key, serial, fails ? "failed" : "succeeded");
    });
}

void standin_worker::stopTask(const json& item)
{
    const task_key key { item.at("job"), item.at("attempt"), item.at("rank") };
    const bool takesCheckpoint = item.value("mode", "kill") == "checkpoint";
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end()) {
        // An unknown task counts as stopped, so that a late start command does not start it.
        m_tasks[key] = { "stopped", ++m_serial };
        return;
    }
    if (found->second.state != "running")
        return;
    if (!takesCheckpoint) {
        found->second.state = "stopped";
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, checkpointTime);
    timer->async_wait(
        [weak = weak_from_this(), timer, key, serial = found->second.serial](const std::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->endTask(key, serial, "checkpointed");
        });
}

void standin_worker::endTask(const task_key& key, std::uint64_t serial, const std::string& state)
{
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end() || found->second.serial != serial || found->second.state != "running")
        return;
    found->second.state = state;
    announceChange();
}

void standin_worker::announceChange()
{
    m_hasChanges = true;
    m_unchangedSince.reset();
    if (m_isAnnouncing) {
        m_hasPendingAnnouncement = true;
        return;
    }
    announce();
}

void standin_worker::announce()
{
    m_isAnnouncing = true;
    m_hasPendingAnnouncement = false;
    m_timers->announce.cancel();
    // The lease counts from the time at which the announcement is sent, not from the response.
    const auto sentAt = std::chrono::steady_clock::now();
    http_client_request call;
    call.address = m_options.instances[m_instanceIndex % m_options.instances.size()];
    call.request = { "POST", "/v1/announce", { { "Content-Type", "application/json" } }, announcementBody() };
    call.timeout = announceTimeout;
    m_client.send(std::move(call), [weak = weak_from_this(), sentAt](const http_result& result) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isAnnouncing = false;
        const bool accepted = result.delivery == http_delivery::Complete && result.response.status == 200;
        if (accepted)
            self->applyAnnounceResponse(result.response.body, sentAt);
        else
            ++self->m_instanceIndex;
        if (accepted && self->m_hasPendingAnnouncement) {
            self->announce();
            return;
        }
        self->m_timers->announce.expires_after(accepted ? self->m_renewal : retryInterval);
        self->m_timers->announce.async_wait([weak](const std::error_code& error) {
            const auto worker = weak.lock();
            if (!error && worker && !worker->m_isAnnouncing)
                worker->announce();
        });
    });
}

void standin_worker::applyAnnounceResponse(const std::string& body, std::chrono::steady_clock::time_point sentAt)
{
    const auto response = parseOrDefault(body, json::object());
    if (response.value("send_full", false)) {
        m_unchangedSince.reset();
        m_hasPendingAnnouncement = true;
        return;
    }
    const auto epoch = response.value("epoch", std::uint64_t { 0 });
    if (epoch < m_epoch)
        return;
    if (epoch > m_epoch)
        m_lastBatch = 0;
    m_epoch = epoch;
    m_hasLease = true;
    m_leaseEnd = sentAt + std::chrono::milliseconds(response.value("lease_ms", 0));
    m_renewal = std::chrono::milliseconds(response.value("renew_ms", 1'000));
    for (const auto& item : response.value("acknowledged", json::array()))
        m_tasks.erase({ item.at("job"), item.at("attempt"), item.at("rank") });
    if (!m_unchangedSince && !m_hasChanges)
        m_unchangedSince = m_sequence;
}

void standin_worker::checkLease()
{
    // Stop all tasks when the lease expires, because the leader may start them on another worker from then on.
    if (m_hasLease && std::chrono::steady_clock::now() >= m_leaseEnd) {
        m_hasLease = false;
        m_tasks.clear();
        m_unchangedSince.reset();
        m_incarnation = makeIncarnation();
    }
    m_timers->lease.expires_after(leaseCheckInterval);
    m_timers->lease.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->checkLease();
    });
}

std::string standin_worker::announcementBody()
{
    // List the tasks.
    json tasks = json::array();
    for (const auto& [key, each] : m_tasks) {
        const auto& [job, attempt, rank] = key;
        tasks.push_back({ { "job", job }, { "attempt", attempt }, { "rank", rank }, { "state", each.state } });
    }

    // Send a short announcement when nothing has changed since an announcement that the instance has accepted.
    if (m_unchangedSince) {
        const json keepAlive { { "kind", "worker" }, { "address", m_address },
            { "failure_domain", m_options.failureDomain }, { "incarnation", m_incarnation },
            { "sequence", ++m_sequence }, { "unchanged_since", *m_unchangedSince } };
        return keepAlive.dump();
    }

    // Send a full announcement.
    m_hasChanges = false;
    const json body {
        { "kind", "worker" },
        { "address", m_address },
        { "failure_domain", m_options.failureDomain },
        { "incarnation", m_incarnation },
        { "sequence", ++m_sequence },
        { "state", "ready" },
        { "rack", m_options.rack },
        { "rack_position", m_options.rackPosition },
        { "cores", m_options.cores },
        { "memory_mb", m_options.memoryMb },
        { "accelerators", m_options.accelerators },
        { "tasks", std::move(tasks) },
    };
    return body.dump();
}

std::string standin_worker::recordBody() const
{
    const json body {
        { "started_tasks", m_startedTasks },
        { "most_tasks_at_once", m_maxTasks },
        { "epoch", m_epoch },
        { "incarnation", m_incarnation },
        { "tasks", m_tasks.size() },
    };
    return body.dump();
}

} // namespace chervilport
