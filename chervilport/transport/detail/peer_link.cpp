#include "chervilport/transport/detail/peer_link.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/transport/detail/ip_address.h"
#include "chervilport/transport/detail/kj_error.h"
#include "chervilport/transport/detail/packed_stream.h"
#include "chervilport/transport/detail/peer_clock.h"
#include "chervilport/transport/detail/wire_codec.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <peer.capnp.h>

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// Maximum content of one `deliver` call, unless a single message is larger. A long queue is sent in several calls,
    /// so that later heartbeats are not delayed by one large call.
    constexpr std::size_t maxBatchBytes = std::size_t { 256 } * 1024;

    kj::Duration durationOf(std::chrono::milliseconds value) { return value.count() * kj::MILLISECONDS; }

    std::size_t sizeOfEnvelope(const envelope& content)
    {
        std::size_t bytes = 0;
        for (const auto& each : content.messages)
            bytes += sizeOf(each);
        for (const auto& each : content.notices)
            bytes += each.size();
        return bytes;
    }

} // namespace

/// One established TCP connection.
class peer_link::connection {
public:
    connection(peer_link& link, kj::Own<kj::AsyncIoStream> stream)
        : m_stream(kj::mv(stream))
        , m_packed(*m_stream, link.m_context->limits.maxMessageBytes,
              [&link](std::uint64_t bytesIn, std::uint64_t bytesOut) {
                  link.m_context->counters.updatePeer(link.m_address.id, [=](peer_counters& counters) {
                      counters.bytesIn += bytesIn;
                      counters.bytesOut += bytesOut;
                  });
              })
        , m_network(m_packed, 0, capnp::rpc::twoparty::Side::CLIENT, options(link.m_context->limits))
        , m_rpc(capnp::makeRpcClient(m_network))
        , m_lost(kj::newPromiseAndFulfiller<void>())
        , m_calls(link)
    {
        m_packed.delayFinish(link.m_timer);
    }

    /// Returns the bootstrap interface of the peer.
    wire::Gate::Client gate()
    {
        capnp::MallocMessageBuilder builder(8);
        auto id = builder.initRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return m_rpc.bootstrap(id).castAs<wire::Gate>();
    }

    /// Resolves or rejects when the connection is no longer usable.
    kj::Promise<void> whenLost() { return m_network.onDisconnect().exclusiveJoin(kj::mv(m_lost.promise)); }

    /// Rejects `whenLost`.
    void markLost(kj::Exception&& error) { m_lost.fulfiller->reject(kj::mv(error)); }

    /// The peer's session; set once the peer has accepted this instance.
    kj::Maybe<wire::Session::Client> session;

    /// Clock of the peer, as its replies show it.
    peer_clock peerClock;

    /// Adds a task that is cancelled when the connection is destroyed.
    void addCall(kj::Promise<void> call) { m_calls.add(kj::mv(call)); }

private:
    static capnp::ReaderOptions options(const transport_limits& limits)
    {
        capnp::ReaderOptions result;
        result.traversalLimitInWords = limits.maxMessageBytes / sizeof(capnp::word);
        return result;
    }

    kj::Own<kj::AsyncIoStream> m_stream;
    packed_stream m_packed;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    kj::PromiseFulfillerPair<void> m_lost;
    kj::TaskSet m_calls;
};

peer_link::peer_link(std::shared_ptr<transport_context> context, std::shared_ptr<send_queue> queue,
    kj::Network& network, kj::Timer& timer, peer_address address)
    : m_context(std::move(context))
    , m_sendQueue(std::move(queue))
    , m_timer(timer)
    , m_address(std::move(address))
    , m_target(networkAddressOf(network, m_address.ip, m_address.port))
    , m_backoff(m_context->limits, std::random_device {}())
    , m_timeouts(*this)
    , m_loop(connectLoop().eagerlyEvaluate([this](kj::Exception&& error) { taskFailed(kj::mv(error)); }))
{
}

peer_link::~peer_link()
{
    m_loop = nullptr;
    endConnection("the link is closed");
    failCalls(false, "the link is closed");
}

// --- connection -----------------------------------------------------------------------------------------------------

kj::Promise<void> peer_link::connectLoop()
{
    // Connect once; the promise ends with the connection. Then wait for the backoff and retry.
    return connectOnce()
        .then([] { return std::string("closed by the peer"); },
            [](kj::Exception&& error) { return std::string(error.getDescription().cStr()); })
        .then([this](const std::string& reason) {
            endConnection(reason);
            m_isBackingOff = true;
            failCalls(false, "no connection to " + nameOf(m_address.id) + ": " + reason);
            return m_timer.afterDelay(nextBackoff());
        })
        .then([this] {
            m_isBackingOff = false;
            return connectLoop();
        });
}

kj::Promise<void> peer_link::connectOnce()
{
    const auto timeout = durationOf(m_context->limits.responseTimeout);
    return m_timer.timeoutAfter(timeout, m_target->connect()).then([this, timeout](kj::Own<kj::AsyncIoStream> stream) {
        m_connection = kj::heap<connection>(*this, kj::mv(stream));
        return m_timer.timeoutAfter(timeout, sendHello()).then([this] { return m_connection->whenLost(); });
    });
}

kj::Promise<void> peer_link::sendHello()
{
    // Send the own identity.
    const auto& own = m_context->identity;
    auto call = m_connection->gate().helloRequest();
    auto request = call.initRequest();
    request.setClusterId(own.clusterId.c_str());
    request.setSecret({ reinterpret_cast<const kj::byte*>(own.secret.data()), own.secret.size() });
    request.setInstanceId(static_cast<std::uint64_t>(own.instance));
    request.setIncarnation(own.incarnation);
    request.setProtocolVersion(own.protocolVersion);
    return call.send().then([this](capnp::Response<wire::Gate::HelloResults>&& response) {
        // Check that the peer accepted and that it is the configured instance in its newest incarnation.
        auto reply = response.getReply();
        if (reply.isRefusal()) {
            m_context->counters.updatePeer(m_address.id, [](peer_counters& counters) { ++counters.refusedByPeer; });
            m_hasNoPlace = reply.getRefusal() == wire::Refusal::TOO_MANY_CONNECTIONS;
            requireOrFail(false, std::string("refused: ") + textOf(reply.getRefusal()));
        }
        auto accepted = reply.getAccepted();
        requireOrFail(accepted.getInstanceId() == static_cast<std::uint64_t>(m_address.id),
            "another instance listens on this address");
        requireOrFail(m_context->recordIncarnation(m_address.id, accepted.getIncarnation()),
            "an older incarnation of the peer listens on this address");
        m_connection->session = accepted.getSession();
        recordReading(m_connection->peerClock, accepted.getClockMs(), clock::now());
        handleEstablished(accepted.getIncarnation());
    });
}

void peer_link::handleEstablished(std::uint64_t incarnation)
{
    m_isEstablished = true;
    m_establishedAt = clock::now();
    m_context->counters.updatePeer(m_address.id, [](peer_counters& counters) {
        ++counters.connects;
        counters.connected = true;
    });
    m_context->log("transport: connected to " + nameOf(m_address.id));
    if (m_context->callbacks.onConnected)
        m_context->callbacks.onConnected(m_address.id, incarnation);

    // Send the calls and envelopes that were queued before the connection was established.
    std::vector<std::uint64_t> waiting;
    for (const auto& each : m_calls)
        waiting.push_back(each.first);
    for (const auto id : waiting)
        start(id);
    flush();
    m_connection->addCall(probeLoop());
}

void peer_link::endConnection(const std::string& reason)
{
    // Fail the sent calls and destroy the connection.
    const bool wasEstablished = std::exchange(m_isEstablished, false);
    if (wasEstablished)
        failCalls(true, reason);
    m_connection = nullptr;
    m_pendingDelivers = 0;
    if (!wasEstablished)
        return;

    // Report the loss.
    m_context->counters.updatePeer(m_address.id, [](peer_counters& counters) {
        ++counters.disconnects;
        counters.connected = false;
    });
    m_context->log("transport: lost the connection to " + nameOf(m_address.id) + ": " + reason);
    if (m_context->callbacks.onDisconnected)
        m_context->callbacks.onDisconnected(m_address.id);
}

kj::Duration peer_link::nextBackoff()
{
    const auto& limits = m_context->limits;
    // A connection that is lost soon after it was established does not reset the backoff. Otherwise two instances of
    // which one rejects a call of the other would reconnect endlessly with the shortest backoff.
    const bool isStable = m_establishedAt != clock::time_point {} && clock::now() - m_establishedAt > limits.maxBackoff;
    m_establishedAt = {};
    const auto ended = isStable ? connect_result::Lasted : connect_result::Failed;
    return durationOf(m_backoff.next(std::exchange(m_hasNoPlace, false) ? connect_result::NoPlace : ended));
}

void peer_link::taskFailed(kj::Exception&& error)
{
    if (m_connection.get() != nullptr)
        m_connection->markLost(kj::mv(error));
}

// --- envelopes ------------------------------------------------------------------------------------------------------

void peer_link::flush()
{
    while (m_isEstablished && m_pendingDelivers < m_context->limits.maxPendingDelivers) {
        envelope content;
        if (!m_sendQueue->take(maxBatchBytes, content))
            return;
        deliver(content);
    }
}

void peer_link::deliver(const envelope& content)
{
    const auto& limits = m_context->limits;
    m_context->counters.updatePeer(m_address.id, [&content](peer_counters& counters) {
        counters.messagesOut += content.messages.size() + content.notices.size();
        ++counters.deliverCalls;
    });
    KJ_IF_MAYBE (session, m_connection->session) {
        const auto bytes = sizeOfEnvelope(content);
        auto request = session->deliverRequest(capnp::MessageSize { bytes / sizeof(capnp::word) + 64, 0 });
        writeEnvelope(request.initEnvelope(), content);
        ++m_pendingDelivers;
        const auto timeout = limits.responseTimeout
            + std::chrono::milliseconds(bytes / std::max<std::size_t>(limits.minBytesPerMs, 1));
        m_connection->addCall(m_timer.timeoutAfter(durationOf(timeout), request.send().ignoreResult()).then([this] {
            --m_pendingDelivers;
            flush();
        }));
    }
}

kj::Promise<void> peer_link::probeLoop()
{
    // Without envelopes, an unresponsive peer would only be detected by the TCP timeout, which takes minutes.
    return m_timer.afterDelay(durationOf(m_context->limits.responseTimeout)).then([this] {
        const bool hasPendingCalls
            = std::any_of(m_calls.begin(), m_calls.end(), [](const auto& each) { return each.second.sent; });
        if (hasPendingCalls && m_pendingDelivers == 0)
            deliver({});
        return probeLoop();
    });
}

// --- calls ----------------------------------------------------------------------------------------------------------

void peer_link::add(pending_call call, clock::time_point deadline)
{
    const auto id = m_nextCall++;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now());
    if (remaining.count() <= 0) {
        call.fail(false, error_kind::DeadlineExceeded, "the deadline has passed");
        return;
    }
    if (m_isBackingOff) {
        call.fail(false, error_kind::Unavailable, "no connection to " + nameOf(m_address.id));
        return;
    }
    m_calls.emplace(id, std::move(call));
    m_timeouts.add(m_timer.afterDelay(durationOf(remaining)).then([this, id] {
        failCall(id, error_kind::DeadlineExceeded, "the deadline has passed");
    }));
    if (m_isEstablished)
        start(id);
}

void peer_link::start(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.sent)
        return;
    found->second.sent = true;
    const auto begin = found->second.start;
    begin(id);
}

void peer_link::failCall(std::uint64_t id, error_kind kind, const std::string& reason)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const auto call = std::move(found->second);
    m_calls.erase(found);
    call.fail(call.sent, kind, reason);
}

void peer_link::failCalls(bool sent, const std::string& reason)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, call] : m_calls) {
        if (call.sent == sent)
            ids.push_back(id);
    }
    for (const auto id : ids)
        failCall(id, error_kind::Unavailable, reason);
}

bool peer_link::remove(std::uint64_t id) { return m_calls.erase(id) != 0; }

void peer_link::forward(forward_call call, clock::time_point deadline, const forward_callback& callback)
{
    pending_call entry;
    entry.fail = [callback](bool sent, error_kind kind, const std::string& reason) {
        const auto outcome = sent ? run_outcome::Unknown : run_outcome::NotRun;
        callback(forward_failure { sent ? error_kind::OutcomeUnknown : kind, outcome, reason });
    };
    entry.start = [this, call = std::move(call), deadline, callback](
                      std::uint64_t id) { startForward(id, call, deadline, callback); };
    add(std::move(entry), deadline);
}

void peer_link::startForward(
    std::uint64_t id, const forward_call& call, clock::time_point deadline, const forward_callback& callback)
{
    KJ_IF_MAYBE (session, m_connection->session) {
        auto request = session->forwardRequest();
        auto builder = request.initCall();
        writeCall(builder, call);
        const auto now = clock::now();
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
        builder.setDeadlineMs(static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)));
        builder.setSentMs(estimateTime(m_connection->peerClock, now));
        m_connection->addCall(request.send().then(
            [this, id, callback](capnp::Response<wire::Session::ForwardResults>&& response) {
                recordReading(m_connection->peerClock, response.getReply().getClockMs(), clock::now());
                auto reply = readReply(response.getReply());
                if (!remove(id))
                    return;
                if (auto* received = std::get_if<forward_response>(&reply))
                    callback(std::move(*received));
                else
                    callback(forward_failure {
                        error_kind::Overloaded, run_outcome::NotRun, std::get<forward_refusal>(reply).reason });
            },
            [this, id](
                kj::Exception&& error) { failCall(id, error_kind::OutcomeUnknown, error.getDescription().cStr()); }));
    }
}

void peer_link::fetchConfiguration(std::uint64_t knownVersion, clock::time_point deadline,
    const std::function<void(std::optional<configuration_copy>)>& callback)
{
    pending_call entry;
    entry.fail = [callback](bool, error_kind, const std::string&) { callback(std::nullopt); };
    entry.start = [this, knownVersion, callback](std::uint64_t id) { startFetch(id, knownVersion, callback); };
    add(std::move(entry), deadline);
}

void peer_link::startFetch(std::uint64_t id, std::uint64_t knownVersion,
    const std::function<void(std::optional<configuration_copy>)>& callback)
{
    KJ_IF_MAYBE (session, m_connection->session) {
        auto request = session->fetchConfigurationRequest();
        request.setKnownVersion(knownVersion);
        m_connection->addCall(request.send().then(
            [this, id, callback](capnp::Response<wire::Session::FetchConfigurationResults>&& response) {
                if (!remove(id))
                    return;
                auto content = response.getContent();
                callback(configuration_copy { response.getVersion(),
                    std::string(reinterpret_cast<const char*>(content.begin()), content.size()) });
            },
            [this, id](
                kj::Exception&& error) { failCall(id, error_kind::Unavailable, error.getDescription().cStr()); }));
    }
}

} // namespace chervilport
