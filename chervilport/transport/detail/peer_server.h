#pragma once

#include "chervilport/transport/detail/connection_places.h"
#include "chervilport/transport/detail/reply_registry.h"
#include "chervilport/transport/detail/transport_context.h"

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace chervilport {

/// An accepted connection.
class accepted_connection;

/// Accepts the connections of other instances and serves their calls. Only on the loop thread.
class peer_server : private kj::TaskSet::ErrorHandler {
public:
    /// Creates a server that does not listen.
    peer_server(std::shared_ptr<transport_context>, kj::Timer&);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

    /// Accepts connections until the server is destroyed.
    void listen(kj::Own<kj::ConnectionReceiver>);

    /// Replaces the peers whose connections get a reserved place.
    void reservePlaces(std::set<member_id> peers);

private:
    friend class accepted_connection;

    kj::Promise<void> acceptLoop();
    void accept(kj::Own<kj::AsyncIoStream>);
    connection_place placeOf(member_id) const;
    void countOpenConnections();
    void taskFailed(kj::Exception&&) override;

    std::shared_ptr<transport_context> m_context;
    kj::Timer& m_timer;
    reply_registry m_replies;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    connection_places m_places;
    std::set<member_id> m_peersWithPlaces;
    /// Latest connection of each peer; a new connection of the same peer closes the earlier one.
    std::map<member_id, accepted_connection*> m_sessions;
    kj::TaskSet m_tasks;
};

} // namespace chervilport
