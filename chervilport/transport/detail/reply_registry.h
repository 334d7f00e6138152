#pragma once

#include "chervilport/transport/detail/transport_context.h"
#include "chervilport/transport/forward_call.h"

#include <kj/async.h>

#include <cstdint>
#include <map>
#include <memory>

namespace chervilport {

/// Received calls that wait for the user's reply. Only the responders may be used on other threads than the loop
/// thread. The registry has to outlive the tasks of the context.
class reply_registry {
public:
    /// Creates an empty registry.
    explicit reply_registry(std::shared_ptr<transport_context>);

    /// A call that waits for its reply.
    struct pending {
        /// Passed to the user.
        forward_responder responder;
        /// Resolves with the reply; rejected when the user destroys the responder without a reply.
        kj::Promise<std::unique_ptr<forward_reply>> reply;
    };

    /// Adds a call.
    pending add();

private:
    class responder_state;

    using waiting_map = std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<std::unique_ptr<forward_reply>>>>;

    void resolve(std::uint64_t id, forward_reply);
    void abandon(std::uint64_t id);

    std::shared_ptr<transport_context> m_context;
    /// Shared with the promises, which the RPC system can keep until the event loop is destroyed.
    std::shared_ptr<waiting_map> m_waiting;
    std::uint64_t m_nextId = 1;
};

} // namespace chervilport
