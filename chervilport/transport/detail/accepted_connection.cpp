#include "chervilport/transport/detail/accepted_connection.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/transport/detail/call_budget.h"
#include "chervilport/transport/detail/kj_error.h"
#include "chervilport/transport/detail/peer_clock.h"
#include "chervilport/transport/detail/wire_codec.h"

#include <kj/debug.h>

#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace chervilport {

namespace {

    /// Maximum bytes of a message before a successful `hello`.
    constexpr std::size_t unidentifiedLimitBytes = std::size_t { 16 } * 1024;

    /// TCP keep-alive closes the connection about a minute after a peer disappears without a reset.
    constexpr int keepAliveIdleSeconds = 30;
    constexpr int keepAliveIntervalSeconds = 10;
    constexpr int keepAliveProbes = 3;

    void setKeepAlive(kj::AsyncIoStream& stream)
    {
        const auto set
            = [&stream](int level, int option, int value) { stream.setsockopt(level, option, &value, sizeof(value)); };
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
        set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
        set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    }

    capnp::ReaderOptions optionsOf(const transport_limits& limits)
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = limits.maxMessageBytes / sizeof(capnp::word);
        return options;
    }

    std::unique_ptr<forward_reply> refusal(const char* reason)
    {
        return std::make_unique<forward_reply>(forward_refusal { reason });
    }

    /// Returns the connection of a server object, or fails the call if it is destroyed. The RPC system can keep the
    /// server object longer than the connection exists.
    accepted_connection& connectionOf(const std::shared_ptr<accepted_connection*>& connection)
    {
        requireOrFail(*connection != nullptr, "the connection is closed");
        return **connection;
    }

    /// Serves the calls of an accepted instance.
    class session_server final : public wire::Session::Server {
    public:
        explicit session_server(std::shared_ptr<accepted_connection*> connection)
            : m_connection(std::move(connection))
        {
        }

        kj::Promise<void> deliver(DeliverContext context) override
        {
            connectionOf(m_connection).deliver(context.getParams().getEnvelope());
            return kj::READY_NOW;
        }

        kj::Promise<void> forward(ForwardContext context) override
        {
            return connectionOf(m_connection)
                .forward(context.getParams().getCall())
                .then([context](std::unique_ptr<forward_reply>&& reply) mutable {
                    auto builder = context.getResults().initReply();
                    writeReply(builder, *reply);
                    builder.setClockMs(readOwnClock(peer_clock::clock::now()));
                });
        }

        kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
        {
            connectionOf(m_connection).fetchConfiguration(context.getParams().getKnownVersion(), context.getResults());
            return kj::READY_NOW;
        }

    private:
        std::shared_ptr<accepted_connection*> m_connection;
    };

    /// Serves the bootstrap interface.
    class gate_server final : public wire::Gate::Server {
    public:
        explicit gate_server(std::shared_ptr<accepted_connection*> connection)
            : m_connection(std::move(connection))
        {
        }

        kj::Promise<void> hello(HelloContext context) override
        {
            connectionOf(m_connection).hello(context.getParams().getRequest(), context.getResults().initReply());
            return kj::READY_NOW;
        }

    private:
        std::shared_ptr<accepted_connection*> m_connection;
    };

} // namespace

accepted_connection::accepted_connection(peer_server& server, kj::Own<kj::AsyncIoStream> stream)
    : m_server(server)
    , m_context(*server.m_context)
    , m_stream(kj::mv(stream))
    , m_packed(*m_stream, unidentifiedLimitBytes,
          [this](std::uint64_t bytesIn, std::uint64_t bytesOut) { countTraffic(bytesIn, bytesOut); })
    , m_self(std::make_shared<accepted_connection*>(this))
    , m_closed(kj::newPromiseAndFulfiller<void>())
    , m_network(m_packed, 0, capnp::rpc::twoparty::Side::SERVER, optionsOf(m_context.limits))
    , m_rpc(capnp::makeRpcServer(m_network, kj::heap<gate_server>(m_self)))
{
    setKeepAlive(*m_stream);
}

accepted_connection::~accepted_connection()
{
    *m_self = nullptr;
    m_server.m_places.release(m_place);
    m_server.countOpenConnections();
    if (!m_peer)
        return;
    const auto found = m_server.m_sessions.find(*m_peer);
    if (found != m_server.m_sessions.end() && found->second == this)
        m_server.m_sessions.erase(found);
}

kj::Promise<void> accepted_connection::whenDone()
{
    // A connection without a successful `hello` must not use up the bound on connections.
    auto helloTimeout = m_server.m_timer.afterDelay(m_context.limits.responseTimeout.count() * kj::MILLISECONDS)
                            .then([this]() -> kj::Promise<void> {
                                if (m_peer)
                                    return kj::NEVER_DONE;
                                return kj::READY_NOW;
                            });
    return m_network.onDisconnect().exclusiveJoin(kj::mv(m_closed.promise)).exclusiveJoin(kj::mv(helloTimeout));
}

void accepted_connection::close() { m_closed.fulfiller->fulfill(); }

std::optional<wire::Refusal> accepted_connection::checkHello(wire::Hello::Reader request) const
{
    const auto& own = m_context.identity;
    if (request.getProtocolVersion() != own.protocolVersion)
        return wire::Refusal::WRONG_PROTOCOL;
    const auto cluster = request.getClusterId();
    const auto secret = request.getSecret();
    const std::string_view givenSecret(reinterpret_cast<const char*>(secret.begin()), secret.size());
    const bool secretMatches = equalsInConstantTime(own.secret, givenSecret);
    if (std::string_view(cluster.begin(), cluster.size()) != own.clusterId || !secretMatches)
        return wire::Refusal::STRANGER;
    if (request.getInstanceId() == static_cast<std::uint64_t>(own.instance))
        return wire::Refusal::OWN_ID;
    if (!m_context.recordIncarnation(member_id { request.getInstanceId() }, request.getIncarnation()))
        return wire::Refusal::OLD_INCARNATION;
    return std::nullopt;
}

void accepted_connection::hello(wire::Hello::Reader request, wire::HelloReply::Builder reply)
{
    requireOrFail(!m_isHelloReceived, "only one hello is accepted on a connection");
    m_isHelloReceived = true;
    auto reason = checkHello(request);
    if (!reason && !takePlace(member_id { request.getInstanceId() }))
        reason = wire::Refusal::TOO_MANY_CONNECTIONS;
    if (reason) {
        reply.setRefusal(*reason);
        m_context.counters.update([](transport_counters& counters) { ++counters.refusals; });
        m_context.log("transport: refused " + nameOf(member_id { request.getInstanceId() }) + ": " + textOf(*reason));
        return;
    }
    accept(request);
    auto accepted = reply.initAccepted();
    accepted.setSession(kj::heap<session_server>(m_self));
    accepted.setInstanceId(static_cast<std::uint64_t>(m_context.identity.instance));
    accepted.setIncarnation(m_context.identity.incarnation);
    accepted.setClockMs(readOwnClock(peer_clock::clock::now()));
}

bool accepted_connection::takePlace(member_id peer)
{
    const auto place = m_server.placeOf(peer);
    const auto earlier = m_server.m_sessions.find(peer);
    if (m_server.m_places.tryTake(place)) {
        m_server.m_places.release(std::exchange(m_place, place));
    } else if (earlier != m_server.m_sessions.end() && earlier->second->m_place == place) {
        // The earlier connection of the same instance is about to be closed; it keeps the place of this one until then.
        std::swap(m_place, earlier->second->m_place);
    } else {
        return false;
    }
    m_server.countOpenConnections();
    return true;
}

void accepted_connection::accept(wire::Hello::Reader request)
{
    // Assign the connection to the instance, with the bytes counted before.
    m_peer = member_id { request.getInstanceId() };
    m_incarnation = request.getIncarnation();
    m_packed.setLimit(m_context.limits.maxMessageBytes);
    countTraffic(std::exchange(m_unidentifiedBytesIn, 0), std::exchange(m_unidentifiedBytesOut, 0));

    // Replace the earlier connection of the same instance.
    auto& latest = m_server.m_sessions[*m_peer];
    if (latest != nullptr)
        latest->close();
    latest = this;
}

void accepted_connection::countTraffic(std::uint64_t bytesIn, std::uint64_t bytesOut)
{
    if (!m_peer) {
        m_unidentifiedBytesIn += bytesIn;
        m_unidentifiedBytesOut += bytesOut;
        return;
    }
    m_context.counters.updatePeer(*m_peer, [=](peer_counters& counters) {
        counters.bytesIn += bytesIn;
        counters.bytesOut += bytesOut;
    });
}

void accepted_connection::requireCurrent() const
{
    requireOrFail(
        m_incarnation >= m_context.incarnations[*m_peer], "a newer incarnation of this instance has connected");
}

void accepted_connection::rejectMalformed(const std::string& reason)
{
    m_context.counters.update([](transport_counters& counters) { ++counters.malformed; });
    m_context.log("transport: malformed call from " + nameOf(*m_peer) + ": " + reason);
    close();
    requireOrFail(false, "malformed call: " + reason);
    std::abort();
}

void accepted_connection::deliver(wire::Envelope::Reader reader)
{
    // Decode the envelope; a malformed one ends the connection.
    requireCurrent();
    envelope content;
    try {
        content = readEnvelope(reader);
    } catch (const kj::Exception& error) {
        rejectMalformed(error.getDescription().cStr());
    } catch (const chervilport_error& error) {
        rejectMalformed(error.what());
    }
    // An empty envelope is a probe that only needs a response.
    if (content.messages.empty() && content.notices.empty() && content.configurationVersion == 0)
        return;

    // Reject messages of another sender, then pass the envelope to the user.
    for (const auto& each : content.messages) {
        if (each.content.from != *m_peer || each.content.to != m_context.identity.instance)
            rejectMalformed("sender or receiver of a message differs from that of the connection");
    }
    m_context.counters.updatePeer(*m_peer, [&content](peer_counters& counters) {
        counters.messagesIn += content.messages.size() + content.notices.size();
    });
    if (m_context.callbacks.onDeliver)
        m_context.callbacks.onDeliver(*m_peer, std::move(content));
}

kj::Promise<std::unique_ptr<forward_reply>> accepted_connection::forward(wire::Call::Reader reader)
{
    requireCurrent();
    if (!m_context.callbacks.onForward)
        return refusal("this instance does not accept forwarded calls");
    if (m_pendingForwards >= m_context.limits.maxPendingForwards)
        return refusal("too many forwarded calls are pending");
    forward_call call;
    try {
        call = readCall(reader);
    } catch (const kj::Exception& error) {
        rejectMalformed(error.getDescription().cStr());
    }

    // A call that the network has held up past its deadline is refused: its sender has given it up, and its caller may
    // have sent another one since that it would undo. A sender that still waits learns the clock and sends it again.
    const auto onTheWay = timeOnTheWay(reader.getSentMs(), peer_clock::clock::now());
    if (onTheWay >= call.remaining) {
        m_context.counters.update([](transport_counters& counters) { ++counters.lateForwards; });
        if (m_context.callbacks.onLateForward)
            m_context.callbacks.onLateForward(*m_peer, call, onTheWay);
        return refusal("the call arrived after its deadline");
    }
    call.remaining -= onTheWay;

    // Pass the call to the user and wait for the reply.
    auto pending = m_server.m_replies.add();
    ++m_pendingForwards;
    m_context.callbacks.onForward(*m_peer, std::move(call), std::move(pending.responder));
    const auto maxBytes = maxPartBytes(m_context.limits);
    auto reply = pending.reply.then([maxBytes](std::unique_ptr<forward_reply>&& value) {
        // The call has run, so a response that cannot be sent makes the outcome unknown to the sender.
        const auto* response = std::get_if<forward_response>(value.get());
        requireOrFail(response == nullptr || sizeOf(*response) <= maxBytes, "the response is too large to forward");
        return kj::mv(value);
    });
    return reply.attach(kj::defer([self = m_self] {
        if (*self != nullptr)
            --(*self)->m_pendingForwards;
    }));
}

void accepted_connection::fetchConfiguration(
    std::uint64_t knownVersion, wire::Session::FetchConfigurationResults::Builder results)
{
    requireCurrent();
    const std::lock_guard lock(m_context.publishedMutex);
    const auto& published = m_context.published;
    results.setVersion(published.version);
    if (published.version > knownVersion)
        results.setContent({ reinterpret_cast<const kj::byte*>(published.content.data()), published.content.size() });
}

} // namespace chervilport
