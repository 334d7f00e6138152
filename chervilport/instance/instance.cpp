#include "chervilport/instance/instance.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/http/http_client.h"
#include "chervilport/http/http_listener.h"
#include "chervilport/instance/control_plane.h"
#include "chervilport/instance/split_address.h"
#include "chervilport/logging/log.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "instance";
    constexpr std::string_view deadlineHeader = "Chervilport-Deadline-Ms";
    constexpr std::chrono::milliseconds defaultDeadline { 10'000 };
    constexpr std::chrono::milliseconds longestDeadline { 3'600'000 };
    constexpr std::chrono::milliseconds workerCallTimeout { 2'000 };
    constexpr std::chrono::milliseconds idleGrace { 200 };
    constexpr std::chrono::milliseconds leadershipTransferTime { 2'000 };

    http_listener_settings listenerSettings(const settings& values)
    {
        http_listener_settings listener;
        const auto address = splitAddress(values.httpListen);
        listener.address = address.ip;
        listener.port = address.port;
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
            || milliseconds > longestDeadline.count())
            throw chervilport_error(
                error_kind::InvalidRequest, std::string(deadlineHeader) + " must be a whole number from 1 to 3600000");
        return std::chrono::milliseconds(milliseconds);
    }

    http_response plainResponse(int status, std::string text)
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
    }

} // namespace

struct instance::implementation {
    explicit implementation(const settings& given)
        : values(given)
        , signals(context, SIGTERM, SIGINT)
        , client(context)
        , control(values, controlHooks())
        , listener(context, listenerSettings(values), [this](http_request request, http_responder responder) {
            handle(std::move(request), std::move(responder));
        })
    {
    }

    control_plane_hooks controlHooks();
    void handle(http_request, http_responder);
    void handleControl(http_request, http_responder);
    void announceAddress() const;
    void beginStop();

    settings values;
    asio::io_context context { 1 };
    asio::signal_set signals;
    http_client client;
    control_plane control;
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
    self.listener.open();
    self.announceAddress();
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
            client.send({ worker, request, workerCallTimeout }, [worker](const http_result& result) {
                if (result.delivery != http_delivery::Complete)
                    logWarning("workers", "worker " + worker + " did not take its commands");
            });
        });
    };
    hooks.announceExecutor = [](std::string_view) {
        return makeErrorResponse(error_kind::InvalidRequest, "executors are not supported yet");
    };
    return hooks;
}

void instance::implementation::handle(http_request request, http_responder responder)
{
    try {
        const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
        if (path == "/healthz")
            responder(plainResponse(200, "ok\n"));
        else if (path == "/readyz")
            responder(
                !stopping && control.isReady() ? plainResponse(200, "ready\n") : plainResponse(503, "not ready\n"));
        else
            handleControl(std::move(request), std::move(responder));
    } catch (const chervilport_error& error) {
        responder(makeErrorResponse(error.kind(), error.what()));
    }
}

void instance::implementation::handleControl(http_request request, http_responder responder)
{
    const auto remaining = readDeadline(request);
    control.handle(std::move(request), remaining, [this, responder = std::move(responder)](http_response response) {
        asio::post(context, [responder, response = std::move(response)]() mutable { responder(std::move(response)); });
    });
}

void instance::implementation::announceAddress() const
{
    const auto colon = values.httpListen.rfind(':');
    const auto address = values.httpListen.substr(0, colon + 1) + std::to_string(listener.port());
    logInfo(part, "serving on " + address);
    if (values.addressFile.empty())
        return;
    // Readers poll for the file, so it must appear whole.
    const auto temporary = values.addressFile + ".tmp";
    std::ofstream(temporary) << address << '\n';
    std::filesystem::rename(temporary, values.addressFile);
}

void instance::implementation::beginStop()
{
    logInfo(part, "planned stop: handing over leadership and finishing requests in flight");
    stopping = true;
    control.prepareStop(std::min(values.stopTimeout, leadershipTransferTime),
        [this] { asio::post(context, [this] { listener.stop(idleGrace, [this] { context.stop(); }); }); });
}

} // namespace chervilport
