#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/transport/envelope.h"
#include "chervilport/transport/forward_call.h"

#include <cstdint>
#include <functional>
#include <string>

namespace chervilport {

/// What the transport calls. All of them run on the transport thread: they must not block and must not throw, and a
/// user on another event loop posts the arguments to it (`asio::post`). None is called after `stop` has returned.
struct transport_callbacks {
    /// A peer delivered an envelope. The order of the envelopes of one connection is kept.
    std::function<void(member_id peer, envelope)> onDeliver;
    /// A peer forwarded a call. Without this callback every call is refused as not run.
    std::function<void(member_id peer, forward_call, forward_responder)> onForward;
    /// The outgoing connection to a peer is established with this incarnation of it.
    std::function<void(member_id peer, std::uint64_t incarnation)> onConnected;
    /// The outgoing connection to a peer is lost.
    std::function<void(member_id peer)> onDisconnected;
    /// A short sentence for the log.
    std::function<void(const std::string&)> onLog;
};

} // namespace chervilport
