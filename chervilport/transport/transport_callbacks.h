#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/transport/envelope.h"
#include "chervilport/transport/forward_call.h"

#include <cstdint>
#include <functional>
#include <string>

namespace chervilport {

/// Callbacks of the transport. All of them run on the transport thread and must neither block nor throw. A user on
/// another event loop posts the arguments to it (`asio::post`). None is called after `stop` has returned.
struct transport_callbacks {
    /// A peer delivered an envelope. The order of the envelopes of one connection is kept.
    std::function<void(member_id peer, envelope)> onDeliver;
    /// A peer forwarded a call. Without this callback every call is refused with outcome `NotRun`.
    std::function<void(member_id peer, forward_call, forward_responder)> onForward;
    /// A call of a peer was refused because it arrived after its deadline, which `remaining` gives from its sending.
    std::function<void(member_id peer, const forward_call&, std::chrono::milliseconds onTheWay)> onLateForward;
    /// The outgoing connection to this incarnation of a peer is established.
    std::function<void(member_id peer, std::uint64_t incarnation)> onConnected;
    /// The outgoing connection to a peer is lost.
    std::function<void(member_id peer)> onDisconnected;
    /// Returns whether the connection of a peer always gets a place, whatever number of other instances is connected.
    /// The configured peers get one without this callback.
    std::function<bool(member_id peer)> hasReservedPlace;
    /// A message for the log.
    std::function<void(const std::string&)> onLog;
};

} // namespace chervilport
