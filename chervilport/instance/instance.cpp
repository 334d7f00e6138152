#include "chervilport/instance/instance.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/http/http_client.h"
#include "chervilport/http/http_listener.h"
#include "chervilport/instance/control_access.h"
#include "chervilport/instance/control_plane.h"
#include "chervilport/instance/data_plane.h"
#include "chervilport/instance/message_size.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/read_tokens.h"
#include "chervilport/instance/routing_notice.h"
#include "chervilport/instance/split_address.h"
#include "chervilport/instance/worker_announcement.h"
#include "chervilport/logging/log.h"
#include "chervilport/metrics/metric_registry.h"
#include "chervilport/requests/request_filters.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "instance";
    constexpr std::string_view upstreamsPath = "/v1/upstreams";
    constexpr std::string_view deadlineHeader = "Chervilport-Deadline-Ms";
    constexpr std::chrono::milliseconds defaultDeadline { 10'000 };
    constexpr std::chrono::milliseconds maxDeadline { 3'600'000 };
    constexpr std::chrono::milliseconds workerCallTimeout { 2'000 };
    constexpr std::chrono::milliseconds idleGrace { 200 };
    constexpr std::chrono::milliseconds idlePollInterval { 20 };
    constexpr std::chrono::milliseconds leadershipTransferTimeout { 2'000 };

    http_listener_settings listenerSettings(const settings& values)
    {
        http_listener_settings listener;
        const auto address = splitAddress(values.httpListen);
        listener.address = address.ip;
        listener.port = address.port;
        listener.maxTargetBytes = values.maxHeaderBytes;
        listener.maxHeaderValueBytes = values.maxHeaderBytes;
        listener.maxBodyBytes = values.maxBodyBytes;
        listener.maxConnections = values.maxConnections;
        return listener;
    }

    std::chrono::milliseconds readDeadline(const http_request& request)
    {
        const auto text = findHeader(request.headers, deadlineHeader);
        if (text.empty())
            return defaultDeadline;
        std::int64_t milliseconds = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || milliseconds < 1
            || milliseconds > maxDeadline.count())
            throw chervilport_error(
                error_kind::InvalidRequest, std::string(deadlineHeader) + " must be a whole number from 1 to 3600000");
        return std::chrono::milliseconds(milliseconds);
    }

    // Returns the incarnation of the data plane. It changes with each process, because requests and slot shares do not
    // survive a restart, whereas the incarnation of an instance with a disk does.
    std::uint64_t newIncarnation() { return static_cast<std::uint64_t>(wallNow().time_since_epoch().count()); }

    http_response plainResponse(int status, std::string text)
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
    }

} // namespace

struct instance::implementation {
    explicit implementation(const settings& instanceSettings)
        : values(instanceSettings)
        , signals(context, SIGTERM, SIGINT)
        , stopTimer(context)
        , idleTimer(context)
        , client(context)
        , access(readTokens(values.tokenFile))
        , control(values, metrics, controlHooks())
        , data(context, values, newIncarnation(), client, metrics, dataHooks())
        , listener(context, listenerSettings(values),
              [this](http_request request, const http_responder& responder) { handle(std::move(request), responder); })
    {
    }

    control_plane_hooks controlHooks();
    void handle(http_request, const http_responder&);
    data_plane_hooks dataHooks();
    void receiveNotice(std::uint64_t sender, const std::string& notice);
    void countControl(const char* direction, std::size_t bytes);
    http_response renderMetrics();
    void handleUpstreams(const http_request&, const http_responder&);
    void handleControl(http_request, const http_responder&);
    void publishAddress() const;
    void beginStop();
    void finishRequests();
    void endWhenIdle();
    void end();

    settings values;
    asio::io_context context { 1 };
    asio::signal_set signals;
    asio::steady_timer stopTimer;
    asio::steady_timer idleTimer;
    http_client client;
    access_policy access;
    metric_registry metrics;
    control_plane control;
    data_plane data;
    http_listener listener;
    bool stopping = false;
};

instance::instance(const settings& values)
    : m_implementation(std::make_unique<implementation>(values))
{
}

instance::~instance() = default;

void instance::run()
{
    auto& self = *m_implementation;
    self.control.start();
    self.data.start();
    self.listener.open();
    self.publishAddress();
    self.signals.async_wait([&self](const std::error_code& error, int) {
        if (!error)
            self.beginStop();
    });
    self.context.run();
    self.control.stop();
    logInfo(part, "stopped");
}

control_plane_hooks instance::implementation::controlHooks()
{
    control_plane_hooks hooks;
    hooks.sendToWorker = [this](const std::string& worker, http_request request) {
        asio::post(context, [this, worker, request = std::move(request)] {
            countControl("out", wireBytes(request));
            client.send({ worker, request, workerCallTimeout }, [worker](const http_result& result) {
                if (result.delivery != http_delivery::Complete)
                    logWarning("workers", "worker " + worker + " did not acknowledge its commands");
            });
        });
    };
    hooks.receiveNotice = [this](std::uint64_t sender, const std::string& notice) {
        asio::post(context, [this, sender, notice] { receiveNotice(sender, notice); });
    };
    hooks.workspacesChanged = [this](std::set<std::string, std::less<>> names) {
        asio::post(context, [this, names = std::move(names)]() mutable { data.setWorkspaces(std::move(names)); });
    };
    hooks.leadershipChanged = [this](bool leading, std::uint64_t term) {
        asio::post(context, [this, leading, term] { data.leadershipChanged(leading, term); });
    };
    return hooks;
}

data_plane_hooks instance::implementation::dataHooks()
{
    data_plane_hooks hooks;
    hooks.notifyDomain = [this](const routing_notice& notice) { control.notifyDomain(encodeRoutingNotice(notice)); };
    hooks.notifyLeader = [this](const routing_notice& notice) { control.notifyLeader(encodeRoutingNotice(notice)); };
    hooks.notifyInstance = [this](std::uint64_t receiver, const routing_notice& notice) {
        control.notifyInstance(receiver, encodeRoutingNotice(notice));
    };
    hooks.claims.submit = [this](claim_step step, log_duration timeout, std::function<void(claim_store_reply)> done) {
        control.submitClaim(std::move(step), timeout, [this, done = std::move(done)](const claim_store_reply& reply) {
            asio::post(context, [done, reply] { done(reply); });
        });
    };
    return hooks;
}

void instance::implementation::receiveNotice(std::uint64_t sender, const std::string& notice)
{
    try {
        data.receive(sender, decodeRoutingNotice(notice));
    } catch (const chervilport_error& error) {
        logWarning(part, "notice from instance " + std::to_string(sender) + " ignored: " + error.what());
    }
}

void instance::implementation::handle(http_request request, const http_responder& responder)
{
    // The handlers share the responder, so that this function can still respond when one of them throws.
    try {
        const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
        if (path == "/healthz")
            responder(plainResponse(200, "ok\n"));
        else if (path == "/readyz")
            responder(
                !stopping && control.isReady() ? plainResponse(200, "ready\n") : plainResponse(503, "not ready\n"));
        else if (path == "/metrics")
            responder(renderMetrics());
        else if (path.starts_with(requestTargetPrefix))
            data.handleRequest(std::move(request), responder);
        else
            handleControl(std::move(request), responder);
    } catch (const chervilport_error& error) {
        responder(makeErrorResponse(error.kind(), error.what()));
    }
}

void instance::implementation::countControl(const char* direction, std::size_t bytes)
{
    metrics.increment("chervilport_control_http_bytes_total", { { "direction", direction } }, bytes);
    metrics.increment("chervilport_control_http_messages_total", { { "direction", direction } });
}

http_response instance::implementation::renderMetrics()
{
    control.recordGauges();
    data.recordGauges();
    metrics.set("chervilport_ready", {}, control.isReady() && !stopping ? 1 : 0);
    metrics.set("chervilport_connections", {}, static_cast<double>(listener.connections()));
    return plainResponse(200, metrics.render());
}

void instance::implementation::handleUpstreams(const http_request& request, const http_responder& responder)
{
    constexpr std::string_view drainSuffix = "/drain";
    const std::string_view target = request.target;
    if (target == upstreamsPath && request.method == "GET") {
        responder({ 200, { { "Content-Type", "application/json" } }, data.describeUpstreams() });
        return;
    }
    if (request.method != "POST" || !target.ends_with(drainSuffix))
        throw chervilport_error(error_kind::NotFound, "there is nothing at this path");
    const auto address
        = target.substr(upstreamsPath.size() + 1, target.size() - upstreamsPath.size() - 1 - drainSuffix.size());
    if (!data.drainUpstream(address))
        throw chervilport_error(error_kind::NotFound, "no upstream is known at " + std::string(address));
    responder({ 200, { { "Content-Type", "application/json" } }, data.describeUpstreams() });
}

void instance::implementation::handleControl(http_request request, const http_responder& responder)
{
    // Internal paths are served only to other instances, on the peer listener.
    if (request.target.starts_with("/internal"))
        throw chervilport_error(error_kind::NotFound, "there is nothing at this path");
    checkControlAccess(access, request);
    if (request.target.starts_with(upstreamsPath)) {
        handleUpstreams(request, responder);
        return;
    }
    if (request.target == "/v1/announce" && request.method == "POST" && !announcesWorker(request.body)) {
        auto response = data.announceExecutor(request.body);
        countControl("in", wireBytes(request));
        countControl("out", wireBytes(response));
        responder(std::move(response));
        return;
    }
    const auto remaining = readDeadline(request);
    countControl("in", wireBytes(request));
    control.handle(std::move(request), remaining, [this, responder](http_response response) {
        asio::post(context, [this, responder, response = std::move(response)]() mutable {
            countControl("out", wireBytes(response));
            responder(std::move(response));
        });
    });
}

void instance::implementation::publishAddress() const
{
    const auto colon = values.httpListen.rfind(':');
    const auto address = values.httpListen.substr(0, colon + 1) + std::to_string(listener.port());
    logInfo(part, "serving on " + address);
    if (values.addressFile.empty())
        return;
    // Readers poll for the file, so it is created by an atomic rename.
    const auto temporary = values.addressFile + ".tmp";
    std::ofstream(temporary) << address << '\n';
    std::filesystem::rename(temporary, values.addressFile);
}

void instance::implementation::beginStop()
{
    // The load balancer needs time to detect that the instance is not ready; until then new requests are served.
    logInfo(part, "graceful shutdown: not ready, transferring leadership");
    stopping = true;
    control.prepareStop(std::min(values.drainTimeout, leadershipTransferTimeout), [] {});
    stopTimer.expires_after(values.drainDelay);
    stopTimer.async_wait([this](const std::error_code&) { finishRequests(); });
}

void instance::implementation::finishRequests()
{
    logInfo(part, "graceful shutdown: finishing " + std::to_string(data.inFlight()) + " requests");
    stopTimer.expires_after(values.drainTimeout);
    stopTimer.async_wait([this](const std::error_code& error) {
        if (error)
            return;
        logWarning(
            part, "graceful shutdown: timeout expired, aborting " + std::to_string(data.inFlight()) + " requests");
        end();
    });
    listener.stop(idleGrace, [this] { endWhenIdle(); });
}

void instance::implementation::endWhenIdle()
{
    // After the last response, the steps that end claims may still be waiting to be committed.
    if (data.inFlight() == 0) {
        end();
        return;
    }
    idleTimer.expires_after(idlePollInterval);
    idleTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            endWhenIdle();
    });
}

void instance::implementation::end()
{
    stopTimer.cancel();
    idleTimer.cancel();
    data.stop();
    context.stop();
}

} // namespace chervilport
