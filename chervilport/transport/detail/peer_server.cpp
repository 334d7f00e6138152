#include "chervilport/transport/detail/peer_server.h"

#include "chervilport/transport/detail/accepted_connection.h"

#include <kj/debug.h>

#include <utility>

namespace chervilport {

peer_server::peer_server(std::shared_ptr<transport_context> context, kj::Timer& timer)
    : m_context(std::move(context))
    , m_timer(timer)
    , m_replies(m_context)
    , m_places(m_context->limits)
    , m_tasks(*this)
{
}

peer_server::~peer_server() = default;

void peer_server::listen(kj::Own<kj::ConnectionReceiver> receiver)
{
    m_receiver = kj::mv(receiver);
    m_tasks.add(acceptLoop());
}

void peer_server::reservePlaces(std::set<member_id> peers) { m_peersWithPlaces = std::move(peers); }

kj::Promise<void> peer_server::acceptLoop()
{
    return m_receiver->accept()
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
                accept(kj::mv(stream));
                return kj::READY_NOW;
            },
            [this](kj::Exception&& error) -> kj::Promise<void> {
                // Without a delay, a process without free file descriptors would loop here without waiting.
                m_context->log(std::string("transport: cannot accept a connection: ") + error.getDescription().cStr());
                return m_timer.afterDelay(100 * kj::MILLISECONDS);
            })
        .then([this] { return acceptLoop(); });
}

void peer_server::accept(kj::Own<kj::AsyncIoStream> stream)
{
    const bool isFull = !m_places.tryTake(connection_place::Unidentified);
    m_context->counters.update([isFull](transport_counters& counters) {
        if (isFull)
            ++counters.refusals;
        else
            ++counters.accepted;
    });
    if (isFull) {
        m_context->log("transport: refused a connection: too many have not identified themselves (limit "
            + std::to_string(m_context->limits.maxUnidentifiedConnections) + ")");
        return;
    }
    auto connection = kj::heap<accepted_connection>(*this, kj::mv(stream));
    auto done = connection->whenDone();
    m_tasks.add(done.attach(kj::mv(connection)));
}

connection_place peer_server::placeOf(member_id peer) const
{
    const auto& hasReservedPlace = m_context->callbacks.hasReservedPlace;
    const bool isReserved = m_peersWithPlaces.contains(peer) || (hasReservedPlace && hasReservedPlace(peer));
    return isReserved ? connection_place::Reserved : connection_place::Shared;
}

void peer_server::countOpenConnections()
{
    m_context->counters.update([this](transport_counters& counters) {
        counters.openReserved = m_places.taken(connection_place::Reserved);
        counters.openShared = m_places.taken(connection_place::Shared);
    });
}

void peer_server::taskFailed(kj::Exception&& error)
{
    m_context->log(std::string("transport: a connection ended: ") + error.getDescription().cStr());
}

} // namespace chervilport
