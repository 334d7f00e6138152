#include "chervilport/transport/peer_transport.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/transport/detail/call_budget.h"
#include "chervilport/transport/detail/ip_address.h"
#include "chervilport/transport/detail/peer_link.h"
#include "chervilport/transport/detail/peer_server.h"
#include "chervilport/transport/detail/send_queue.h"
#include "chervilport/transport/detail/transport_context.h"

#include <kj/async-io.h>
#include <kj/exception.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace chervilport {

/// The event loop thread and the state that is shared with it.
class peer_transport::impl {
public:
    impl(transport_identity identity, transport_callbacks callbacks, transport_limits limits)
        : context(new transport_context { std::move(identity), std::move(callbacks), limits })
    {
    }

    /// A configured peer; used on all threads.
    struct peer {
        peer_address address;
        std::shared_ptr<send_queue> queue;
        std::shared_ptr<call_budget> calls;
    };

    /// Objects of the loop thread.
    struct loop_state {
        peer_server server;
        std::map<member_id, std::unique_ptr<peer_link>> links;
        kj::Network& network;
        kj::Timer& timer;
        kj::Own<kj::PromiseFulfiller<void>> quit;
    };

    void run(const std::string& ip, std::uint16_t requestedPort, std::promise<std::uint16_t>& started);
    void applyPeers(const std::vector<peer>&);
    std::optional<peer> find(member_id) const;
    peer_link* linkOf(member_id) const;
    void setPeers(std::vector<peer_address>);

    std::shared_ptr<transport_context> context;
    std::thread thread;
    std::atomic<std::uint16_t> port = 0;
    /// Guards `peers`. Held while a change is posted, so that the loop applies changes in the same order.
    mutable std::mutex mutex;
    std::map<member_id, peer> peers;
    /// Serializes `stop`.
    std::mutex stopMutex;
    /// Accessed only on the loop thread; null before the loop runs and after it ends.
    loop_state* loop = nullptr;
};

void peer_transport::impl::run(const std::string& ip, std::uint16_t requestedPort, std::promise<std::uint16_t>& started)
{
    auto io = kj::setupAsyncIo();
    auto quit = kj::newPromiseAndFulfiller<void>();
    auto tasks = context->tasks.run(*io.lowLevelProvider).eagerlyEvaluate(nullptr);
    auto& timer = io.provider->getTimer();
    auto& network = io.provider->getNetwork();
    loop_state state { { context, timer }, {}, network, timer, kj::mv(quit.fulfiller) };
    loop = &state;

    // Listen and report the port or the failure to the thread that waits in `start`.
    try {
        auto receiver = networkAddressOf(network, ip, requestedPort)->listen();
        const auto boundPort = static_cast<std::uint16_t>(receiver->getPort());
        state.server.listen(kj::mv(receiver));
        started.set_value(boundPort);
    } catch (const kj::Exception& error) {
        loop = nullptr;
        context->tasks.close();
        started.set_exception(std::make_exception_ptr(chervilport_error(error_kind::Unavailable,
            "cannot listen on " + ip + " port " + std::to_string(requestedPort) + ": "
                + error.getDescription().cStr())));
        return;
    }

    quit.promise.wait(io.waitScope);
    // Destroyed links fail their pending calls. The remaining tasks run in `close` and find no link.
    state.links.clear();
    loop = nullptr;
    context->tasks.close();
}

void peer_transport::impl::applyPeers(const std::vector<peer>& newPeers)
{
    if (loop == nullptr)
        return;

    // Keep the links whose address is unchanged.
    std::map<member_id, std::unique_ptr<peer_link>> kept;
    for (const auto& each : newPeers) {
        auto found = loop->links.find(each.address.id);
        if (found != loop->links.end() && found->second->address() == each.address)
            kept.emplace(each.address.id, std::move(found->second));
    }
    loop->links.swap(kept);
    // Destroy removed links before new links to the same peers connect.
    kept.clear();

    // Reserve places for the connections of the peers.
    std::set<member_id> ids;
    for (const auto& each : newPeers)
        ids.insert(each.address.id);
    loop->server.reservePlaces(std::move(ids));

    // Create the missing links.
    for (const auto& each : newPeers) {
        auto& link = loop->links[each.address.id];
        if (!link)
            link = std::make_unique<peer_link>(context, each.queue, loop->network, loop->timer, each.address);
    }
}

std::optional<peer_transport::impl::peer> peer_transport::impl::find(member_id id) const
{
    const std::lock_guard lock(mutex);
    const auto found = peers.find(id);
    if (found == peers.end())
        return std::nullopt;
    return found->second;
}

peer_link* peer_transport::impl::linkOf(member_id id) const
{
    if (loop == nullptr)
        return nullptr;
    const auto found = loop->links.find(id);
    return found == loop->links.end() ? nullptr : found->second.get();
}

void peer_transport::impl::setPeers(std::vector<peer_address> addresses)
{
    for (const auto& each : addresses)
        requireNumericIp(each.ip);

    // Reuse the queues and budgets of peers that stay.
    const std::lock_guard lock(mutex);
    std::map<member_id, peer> changed;
    std::vector<peer> list;
    for (auto& each : addresses) {
        const auto id = each.id;
        const auto found = peers.find(id);
        auto entry = found != peers.end() ? found->second
                                          : peer { {}, std::make_shared<send_queue>(context->limits),
                                                std::make_shared<call_budget>(context->limits) };
        entry.address = std::move(each);
        if (changed.emplace(id, entry).second)
            list.push_back(std::move(entry));
    }
    peers = std::move(changed);
    context->tasks.post([this, list = std::move(list)] { applyPeers(list); });
}

peer_transport::peer_transport(transport_identity identity, transport_callbacks callbacks, transport_limits limits)
    : m_impl(std::make_unique<impl>(std::move(identity), std::move(callbacks), limits))
{
}

peer_transport::~peer_transport() { stop(); }

void peer_transport::start(std::string_view ip, std::uint16_t port, std::vector<peer_address> peers)
{
    requireNumericIp(ip);
    m_impl->setPeers(std::move(peers));
    std::promise<std::uint16_t> started;
    auto result = started.get_future();
    m_impl->thread = std::thread([this, &started, ip = std::string(ip), port] { m_impl->run(ip, port, started); });
    try {
        m_impl->port = result.get();
    } catch (...) {
        m_impl->thread.join();
        throw;
    }
}

std::uint16_t peer_transport::port() const { return m_impl->port; }

void peer_transport::setPeers(std::vector<peer_address> peers) { m_impl->setPeers(std::move(peers)); }

void peer_transport::send(member_id id, envelope content)
{
    const auto peer = m_impl->find(id);
    if (!peer)
        return;
    const auto result = peer->queue->push(std::move(content));
    if (result.dropped != 0)
        m_impl->context->counters.updatePeer(
            id, [&result](peer_counters& counters) { counters.dropped += result.dropped; });
    if (!result.needsWakeup)
        return;
    m_impl->context->tasks.post([impl = m_impl.get(), id] {
        if (auto* link = impl->linkOf(id))
            link->flush();
    });
}

void peer_transport::forward(member_id id, forward_call call, forward_callback callback)
{
    const auto deadline = peer_link::clock::now() + call.remaining;
    const auto peer = m_impl->find(id);
    if (!peer) {
        callback(forward_failure { error_kind::Unavailable, run_outcome::NotRun, "unknown " + nameOf(id) });
        return;
    }

    // Bound the pending calls, including those that the loop has not processed yet.
    const auto bytes = sizeOf(call);
    if (const auto refusal = peer->calls->tryAcquire(bytes)) {
        callback(forward_failure { *refusal, run_outcome::NotRun,
            *refusal == error_kind::TooLarge ? "the call of " + std::to_string(bytes) + " bytes is too large to forward"
                                             : "too many forwarded calls to " + nameOf(id) + " are pending" });
        return;
    }
    const auto finish = [calls = peer->calls, bytes, callback = std::move(callback)](forward_result result) {
        calls->release(bytes);
        callback(std::move(result));
    };
    const auto task = [impl = m_impl.get(), id, call = std::move(call), deadline, finish] {
        if (auto* link = impl->linkOf(id))
            link->forward(call, deadline, finish);
        else
            finish(forward_failure { error_kind::Unavailable, run_outcome::NotRun, "unknown " + nameOf(id) });
    };
    if (!m_impl->context->tasks.post(task))
        finish(forward_failure { error_kind::Unavailable, run_outcome::NotRun, "the transport is stopped" });
}

void peer_transport::fetchConfiguration(
    member_id id, std::uint64_t knownVersion, std::chrono::milliseconds timeout, configuration_callback callback)
{
    const auto deadline = peer_link::clock::now() + timeout;
    const auto shared = std::make_shared<configuration_callback>(std::move(callback));
    const auto task = [impl = m_impl.get(), id, knownVersion, deadline, shared] {
        if (auto* link = impl->linkOf(id))
            link->fetchConfiguration(knownVersion, deadline, *shared);
        else
            (*shared)(std::nullopt);
    };
    if (!m_impl->context->tasks.post(task))
        (*shared)(std::nullopt);
}

void peer_transport::publishConfiguration(configuration_copy copy)
{
    if (copy.content.size() > maxPartBytes(m_impl->context->limits))
        throw chervilport_error(error_kind::TooLarge,
            "the configuration of " + std::to_string(copy.content.size())
                + " bytes is too large for one message between instances");
    const std::lock_guard lock(m_impl->context->publishedMutex);
    m_impl->context->published = std::move(copy);
}

transport_counters peer_transport::counters() const
{
    auto result = m_impl->context->counters.copy();
    const std::lock_guard lock(m_impl->mutex);
    for (const auto& [id, peer] : m_impl->peers)
        result.peers[id].queued = peer.queue->size();
    return result;
}

void peer_transport::stop()
{
    const std::lock_guard lock(m_impl->stopMutex);
    if (!m_impl->thread.joinable()) {
        // Fails the calls that were made on a transport that was not started.
        m_impl->context->tasks.close();
        return;
    }
    m_impl->context->tasks.post([impl = m_impl.get()] {
        if (impl->loop != nullptr)
            impl->loop->quit->fulfill();
    });
    m_impl->thread.join();
}

} // namespace chervilport
