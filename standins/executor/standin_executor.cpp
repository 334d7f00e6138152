#include "standins/executor/standin_executor.h"

#include "standins/executor/executor_announcer.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view attemptHeader = "Chervilport-Attempt";
    constexpr std::string_view faultHeader = "Standin-Fault";
    constexpr std::string_view serviceTimeHeader = "Standin-Service-Us";
    constexpr int delayFactor = 10;

    constexpr std::array<std::string_view, 7> faultNames
        = { "none", "die-before", "die-after", "cut", "late", "fail", "refuse" };

    http_response makeRefusal() { return { 503, { { "Chervilport-Outcome", "not_run" } }, "all slots are in use" }; }

} // namespace

executor_fault executorFaultFromName(const std::string& name)
{
    const auto* const found = std::find(faultNames.begin(), faultNames.end(), name);
    if (found == faultNames.end())
        throw std::invalid_argument("unknown fault: " + name);
    return static_cast<executor_fault>(found - faultNames.begin());
}

standin_executor::standin_executor(asio::io_context& context, http_client& client, standin_executor_options options)
    : m_context(context)
    , m_client(client)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

standin_executor::~standin_executor() = default;

void standin_executor::start()
{
    m_server = std::make_unique<executor_server>(
        m_context, [weak = weak_from_this()](const http_request& request, const executor_server::responder& responder) {
            if (const auto self = weak.lock())
                self->handle(request, responder);
        });
    m_address = "127.0.0.1:" + std::to_string(m_server->port());
    m_announcer = std::make_shared<executor_announcer>(m_context, m_client, m_options, m_address);
    m_announcer->announce("ready");
}

void standin_executor::announceLeaving() { m_announcer->announce("leaving"); }

void standin_executor::handle(const http_request& request, const executor_server::responder& responder)
{
    if (request.target == "/record") {
        responder.send({ 200, { { "Content-Type", "application/json" } }, recordBody() });
        return;
    }
    const auto fault = chooseFault(request);
    if (fault == executor_fault::CloseBeforeRun)
        return;
    if (fault == executor_fault::FailRequest) {
        responder.send({ 500, {}, "failed" });
        return;
    }
    if (fault == executor_fault::RefuseRequest || m_running >= m_options.slots) {
        ++m_refused;
        responder.send(makeRefusal());
        return;
    }
    run(request, responder, fault);
}

executor_fault standin_executor::chooseFault(const http_request& request)
{
    const auto named = findHeader(request.headers, faultHeader);
    if (!named.empty())
        return executorFaultFromName(std::string(named));
    if (m_options.fault == executor_fault::None || !std::bernoulli_distribution(m_options.faultShare)(m_random))
        return executor_fault::None;
    return m_options.fault;
}

std::chrono::microseconds standin_executor::serviceTimeOf(const http_request& request) const
{
    const auto named = findHeader(request.headers, serviceTimeHeader);
    return named.empty() ? m_options.serviceTime : std::chrono::microseconds(std::stoll(std::string(named)));
}

void standin_executor::run(
    const http_request& request, const executor_server::responder& responder, executor_fault fault)
{
    // Record the run.
    ++m_runs[request.body];
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);

    // Respond after the service time.
    const auto time = serviceTimeOf(request) * (fault == executor_fault::DelayResponse ? delayFactor : 1);
    const auto startedAt = std::chrono::steady_clock::now();
    const auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    timer->async_wait(
        [self = shared_from_this(), timer, request, responder, fault, startedAt](const asio::error_code&) {
            --self->m_running;
            const auto busy = std::chrono::steady_clock::now() - startedAt;
            self->m_busyMicroseconds
                += static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(busy).count());
            standin_executor::finish(request, responder, fault);
        });
}

void standin_executor::finish(
    const http_request& request, const executor_server::responder& responder, executor_fault fault)
{
    if (fault == executor_fault::CloseAfterRun)
        return;
    http_response response { 200, {}, "ran " + request.body };
    const auto attempt = findHeader(request.headers, attemptHeader);
    if (!attempt.empty())
        response.headers.push_back({ std::string(attemptHeader), std::string(attempt) });
    if (fault == executor_fault::TruncateResponse)
        responder.sendTruncated(std::move(response));
    else
        responder.send(std::move(response));
}

std::string standin_executor::recordBody() const
{
    const nlohmann::json document { { "address", m_address }, { "slots", m_options.slots }, { "running", m_running },
        { "most_running", m_maxRunning }, { "refused", m_refused }, { "busy_us", m_busyMicroseconds },
        { "runs", m_runs } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace chervilport
