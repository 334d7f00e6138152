#pragma once

#include "chervilport/transport/detail/reply_registry.h"
#include "chervilport/transport/detail/transport_context.h"

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
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

private:
    friend class accepted_connection;

    kj::Promise<void> acceptLoop();
    void accept(kj::Own<kj::AsyncIoStream>);
    void taskFailed(kj::Exception&&) override;

    std::shared_ptr<transport_context> m_context;
    kj::Timer& m_timer;
    reply_registry m_replies;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    std::size_t m_openConnections = 0;
    /// Latest connection of each peer; a new connection of the same peer closes the earlier one.
    std::map<member_id, accepted_connection*> m_sessions;
    kj::TaskSet m_tasks;
};

} // namespace chervilport
