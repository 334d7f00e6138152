#include "benchmarks/requests/bench_host.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/requests/announcement_codec.h"
#include "chervilport/requests/request_filters.h"
#include "chervilport/requests/share_codec.h"

#include <utility>

namespace chervilport {

namespace {

    constexpr std::chrono::milliseconds pollPeriod { 10 };
    constexpr std::chrono::milliseconds peerTimeout { 1'000 };
    constexpr std::chrono::milliseconds idleGrace { 200 };

    log_time steadyNow()
    {
        return log_time(std::chrono::duration_cast<log_duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    http_listener_settings makeListenerSettings(std::uint16_t port)
    {
        http_listener_settings settings;
        settings.port = port;
        return settings;
    }

} // namespace

bench_host::bench_host(asio::io_context& context, bench_host_options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_client(context)
    , m_timer(context)
    , m_listener(context, makeListenerSettings(m_options.port),
          [this](http_request request, http_responder responder) { handle(std::move(request), std::move(responder)); })
{
    m_routing.slots.instance = m_options.name;
    m_routing.slots.incarnation = 1;
    request_settings settings;
    settings.owner = { m_options.name, 1 };
    m_pipeline = std::make_shared<request_pipeline>(std::move(settings), m_routing, makeRequestPorts());
    m_shares = std::make_shared<share_exchange>(slot_share_settings {}, m_routing, makeSharePorts());
    if (leads())
        m_shares->becomeLeader({});
}

bool bench_host::leads() const { return m_options.hosts.front().ends_with(":" + std::to_string(m_options.port)); }

request_ports bench_host::makeRequestPorts()
{
    request_ports ports;
    ports.now = steadyNow;
    ports.send = [this](http_client_request request, http_client::callback done) {
        m_client.send(std::move(request), std::move(done));
    };
    ports.claims.submit = [this](const claim_step& step, log_duration patience, auto done) {
        submitClaim(step, patience, std::move(done));
    };
    ports.seed = std::hash<std::string>()(m_options.name);
    return ports;
}

share_exchange_ports bench_host::makeSharePorts()
{
    share_exchange_ports ports;
    ports.now = steadyNow;
    ports.demand = [this] { return m_pipeline->demand(); };
    ports.isWaiting = [this] { return m_pipeline->waiting() > 0; };
    ports.granted = [this] { m_pipeline->poll(); };
    ports.sendReport = [this](const share_report& report, auto done) {
        if (leads()) {
            done(m_shares->answer(report));
            return;
        }
        postToLeader("/peer/shares", encodeShareReport(report), [done](const http_result& result) {
            constexpr int okStatus = 200;
            if (result.delivery == http_delivery::Complete && result.response.status == okStatus)
                done(decodeShareGrant(result.response.body));
            else
                done(std::nullopt);
        });
    };
    return ports;
}

void bench_host::postToLeader(const std::string& target, std::string body, std::function<void(const http_result&)> done)
{
    http_client_request request;
    request.address = m_options.hosts.front();
    request.request = { "POST", target, {}, std::move(body) };
    request.timeout = peerTimeout;
    m_client.send(std::move(request), [done = std::move(done)](const http_result& result) { done(result); });
}

void bench_host::submitClaim(const claim_step& step, log_duration, std::function<void(claim_store_reply)> done)
{
    if (leads()) {
        done({ applyClaimStep(m_claims, step, steadyNow()), {} });
        return;
    }
    postToLeader("/peer/claims", encodeClaimStep(step), [done = std::move(done)](const http_result& result) {
        claim_store_reply reply;
        if (result.delivery == http_delivery::Complete)
            reply.reply = decodeClaimReply(result.response.body);
        done(reply);
    });
}

void bench_host::start()
{
    m_listener.open();
    pollLater();
}

void bench_host::pollLater()
{
    m_timer.expires_after(pollPeriod);
    m_timer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        m_shares->poll();
        m_pipeline->poll();
        pollLater();
    });
}

void bench_host::stop()
{
    m_listener.stop(idleGrace, [this] { m_context.stop(); });
}

void bench_host::handle(http_request request, http_responder responder)
{
    try {
        if (request.target.starts_with(requestTargetPrefix)) {
            m_pipeline->handle(std::move(request), std::move(responder));
        } else if (request.target == "/v1/announce" || request.target == "/peer/announce") {
            announce(request, responder);
        } else if (request.target == "/peer/shares") {
            const auto grant = m_shares->answer(decodeShareReport(request.body));
            if (grant)
                responder({ 200, {}, encodeShareGrant(*grant) });
            else
                responder(makeErrorResponse(error_kind::NotLeader, "no answer to this report"));
        } else if (request.target == "/peer/claims") {
            responder(
                { 200, {}, encodeClaimReply(applyClaimStep(m_claims, decodeClaimStep(request.body), steadyNow())) });
        } else {
            responder({ 200, {}, "ok" });
        }
    } catch (const chervilport_error& error) {
        responder(makeErrorResponse(error.kind(), error.what()));
    }
}

void bench_host::announce(const http_request& request, const http_responder& responder)
{
    mergeAnnouncement(m_routing.registry, parseExecutorAnnouncement(request.body), steadyNow());
    responder({ 200, {}, R"({"lease_ms":4000,"epoch":1,"renew_ms":1000})" });
    if (request.target == "/peer/announce")
        return;
    for (const auto& host : m_options.hosts) {
        if (host.ends_with(":" + std::to_string(m_options.port)))
            continue;
        http_client_request copy;
        copy.address = host;
        copy.request = { "POST", "/peer/announce", {}, request.body };
        copy.timeout = peerTimeout;
        m_client.send(std::move(copy), [](const http_result&) {});
    }
}

} // namespace chervilport
