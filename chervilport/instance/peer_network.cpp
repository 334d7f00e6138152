#include "chervilport/instance/peer_network.h"

#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/read_secret.h"
#include "chervilport/instance/split_address.h"
#include "chervilport/logging/event_log.h"
#include "chervilport/logging/log.h"
#include "chervilport/transport/peer_transport.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <map>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "peers";
    constexpr std::string_view hopsHeader = "Chervilport-Hops";
    constexpr std::chrono::milliseconds fetchTimeout { 2'000 };

    std::chrono::milliseconds remainingOf(const control_call& call)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - monotonicNow());
        return std::max(left, std::chrono::milliseconds(0));
    }

    forward_call toForwardCall(const control_call& call)
    {
        forward_call forwarded { call.request.method, call.request.target, {}, call.request.body, remainingOf(call) };
        for (const auto& header : call.request.headers) {
            if (!equalHeaderNames(header.name, hopsHeader))
                forwarded.headers.push_back({ header.name, header.value });
        }
        forwarded.headers.push_back({ std::string(hopsHeader), std::to_string(call.hops + 1) });
        return forwarded;
    }

    std::shared_ptr<control_call> toControlCall(const forward_call& forwarded, const forward_responder& respond)
    {
        auto call = std::make_shared<control_call>();
        call->request = { forwarded.method, forwarded.path, {}, forwarded.body };
        call->deadline = monotonicNow() + forwarded.remaining;
        // A call without a valid hop count is not forwarded again.
        call->hops = 1'000;
        for (const auto& header : forwarded.headers) {
            if (equalHeaderNames(header.name, hopsHeader))
                std::from_chars(header.value.data(), header.value.data() + header.value.size(), call->hops);
            else
                call->request.headers.push_back({ header.name, header.value });
        }
        call->reply = [respond](const http_response& response) {
            forward_response forwardResponse { static_cast<std::uint16_t>(response.status), {}, response.body };
            for (const auto& header : response.headers)
                forwardResponse.headers.push_back({ header.name, header.value });
            respond(std::move(forwardResponse));
        };
        return call;
    }

    forward_outcome toOutcome(const forward_result& result)
    {
        if (const auto* const forwardResponse = std::get_if<forward_response>(&result)) {
            http_response response { forwardResponse->status, {}, forwardResponse->body };
            for (const auto& header : forwardResponse->headers)
                response.headers.push_back({ header.name, header.value });
            return { std::move(response), false, {}, false };
        }
        const auto& failure = std::get<forward_failure>(result);
        return { std::nullopt, failure.outcome == run_outcome::NotRun, failure.reason,
            failure.kind == error_kind::Overloaded };
    }

} // namespace

struct peer_network::implementation {
    implementation(asio::io_context& ioContext, const settings& networkSettings, peer_network_hooks networkHooks)
        : context(ioContext)
        , values(networkSettings)
        , hooks(std::move(networkHooks))
    {
    }

    /// Logs and reports the connection state of a peer. Runs on the transport thread.
    void reportConnection(member_id peer, bool connected)
    {
        const auto instance = static_cast<std::uint64_t>(peer);
        logEvent(connected ? "peer_connected" : "peer_lost", { { "peer", instance } },
            connected ? log_level::Info : log_level::Warning);
        if (hooks.connectionChanged)
            asio::post(context, [this, instance, connected] { hooks.connectionChanged(instance, connected); });
    }

    asio::io_context& context;
    settings values;
    peer_network_hooks hooks;
    std::unique_ptr<peer_transport> transport;
    std::uint64_t configurationVersion = 0;
};

peer_network::peer_network(asio::io_context& context, const settings& values, std::uint64_t incarnation,
    peer_network_hooks hooks, transport_limits limits)
    : m_implementation(std::make_unique<implementation>(context, values, std::move(hooks)))
{
    transport_identity identity { values.clusterId, readSecret(values.secretFile),
        static_cast<member_id>(values.instanceId), incarnation };

    // The callbacks run on the transport thread and only post to the control thread.
    transport_callbacks callbacks;
    auto& self = *m_implementation;
    callbacks.onDeliver = [&self](member_id from, envelope received) {
        asio::post(self.context, [&self, from, received = std::move(received)] {
            const auto instance = static_cast<std::uint64_t>(from);
            for (const auto& each : received.messages)
                self.hooks.receive(each.scope, each.content);
            for (const auto& notice : received.notices)
                self.hooks.receiveNotice(instance, notice);
            self.hooks.observeConfiguration(instance, received.configurationVersion);
        });
    };
    callbacks.onForward = [&self](member_id, const forward_call& call, const forward_responder& respond) {
        asio::post(self.context, [&self, call, respond] { self.hooks.serve(toControlCall(call, respond)); });
    };
    callbacks.onLateForward = [](member_id peer, const forward_call& call, std::chrono::milliseconds onTheWay) {
        logEvent("call_refused_late",
            { { "request", call.method + ' ' + call.path }, { "from", static_cast<std::uint64_t>(peer) },
                { "on_the_way_ms", onTheWay.count() }, { "deadline_ms", call.remaining.count() } },
            log_level::Warning);
    };
    callbacks.onConnected = [&self](member_id peer, std::uint64_t) { self.reportConnection(peer, true); };
    callbacks.onDisconnected = [&self](member_id peer) { self.reportConnection(peer, false); };
    if (const auto& hasReservedPlace = self.hooks.hasReservedPlace)
        callbacks.hasReservedPlace
            = [hasReservedPlace](member_id peer) { return hasReservedPlace(static_cast<std::uint64_t>(peer)); };
    callbacks.onLog = [](const std::string& line) { logInfo(part, line); };
    self.transport = std::make_unique<peer_transport>(std::move(identity), std::move(callbacks), limits);
}

peer_network::~peer_network() { stop(); }

void peer_network::start()
{
    const auto& values = m_implementation->values;
    std::vector<peer_address> peers;
    for (const auto& listed : values.instances) {
        if (listed.id == values.instanceId)
            continue;
        const auto address = splitAddress(listed.peer);
        peers.push_back({ static_cast<member_id>(listed.id), address.ip, address.port });
    }
    const auto listenAddress = splitAddress(values.peerListen);
    m_implementation->transport->start(listenAddress.ip, listenAddress.port, std::move(peers));
}

void peer_network::setPeers(std::vector<peer_address> peers)
{
    m_implementation->transport->setPeers(std::move(peers));
}

void peer_network::stop() { m_implementation->transport->stop(); }

void peer_network::send(replication_scope scope, std::vector<message> messages)
{
    std::map<member_id, envelope> envelopes;
    for (auto& each : messages) {
        auto& sent = envelopes[each.to];
        sent.messages.push_back({ scope, std::move(each) });
    }
    for (auto& [peer, each] : envelopes) {
        each.configurationVersion = m_implementation->configurationVersion;
        m_implementation->transport->send(peer, std::move(each));
    }
}

void peer_network::notify(std::span<const std::uint64_t> instances, const std::string& notice)
{
    for (const auto instance : instances) {
        envelope sent;
        sent.configurationVersion = m_implementation->configurationVersion;
        sent.notices.push_back(notice);
        m_implementation->transport->send(static_cast<member_id>(instance), std::move(sent));
    }
}

void peer_network::forward(std::uint64_t instance, const control_call& call, std::function<void(forward_outcome)> done)
{
    auto& context = m_implementation->context;
    m_implementation->transport->forward(static_cast<member_id>(instance), toForwardCall(call),
        [&context, done = std::move(done)](const forward_result& result) {
            asio::post(context, [done, outcome = toOutcome(result)] { done(outcome); });
        });
}

void peer_network::publishConfiguration(std::uint64_t version, std::string content)
{
    m_implementation->configurationVersion = version;
    m_implementation->transport->publishConfiguration({ version, std::move(content) });
}

void peer_network::announceConfiguration(std::span<const std::uint64_t> instances)
{
    for (const auto instance : instances) {
        envelope sent;
        sent.configurationVersion = m_implementation->configurationVersion;
        m_implementation->transport->send(static_cast<member_id>(instance), std::move(sent));
    }
}

void peer_network::fetchConfiguration(
    std::uint64_t instance, std::uint64_t known, std::function<void(std::uint64_t version, std::string content)> done)
{
    auto& context = m_implementation->context;
    m_implementation->transport->fetchConfiguration(static_cast<member_id>(instance), known, fetchTimeout,
        [&context, known, done = std::move(done)](const std::optional<configuration_copy>& copy) {
            const bool newer = copy && copy->version > known;
            const auto fetched = newer ? *copy : configuration_copy {};
            asio::post(context, [done, fetched] { done(fetched.version, fetched.content); });
        });
}

transport_counters peer_network::counters() const { return m_implementation->transport->counters(); }

} // namespace chervilport
