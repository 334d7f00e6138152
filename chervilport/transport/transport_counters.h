#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>
#include <map>

namespace chervilport {

/// Counters of the traffic with one peer since the start of the transport, on both connections.
struct peer_counters {
    /// Replication messages and notices written to a connection.
    std::uint64_t messagesOut = 0;
    /// Replication messages and notices received.
    std::uint64_t messagesIn = 0;
    /// Bytes written to TCP.
    std::uint64_t bytesOut = 0;
    /// Bytes read from TCP.
    std::uint64_t bytesIn = 0;
    /// `deliver` calls made.
    std::uint64_t deliverCalls = 0;
    /// Replication messages and notices dropped because of the bounds of the queue.
    std::uint64_t dropped = 0;
    /// Outgoing connections established.
    std::uint64_t connects = 0;
    /// Outgoing connections lost.
    std::uint64_t disconnects = 0;
    /// Outgoing connections that the peer refused.
    std::uint64_t refusedByPeer = 0;
    /// Replication messages and notices in the queue.
    std::uint64_t queued = 0;
    /// Whether the outgoing connection is established.
    bool connected = false;
};

/// Counters of a transport.
struct transport_counters {
    /// Counters of each peer that was configured or that identified itself.
    std::map<member_id, peer_counters> peers;
    /// Connections accepted.
    std::uint64_t accepted = 0;
    /// Accepted connections that are open and have completed `hello`, with a reserved place.
    std::uint64_t openReserved = 0;
    /// Accepted connections that are open and have completed `hello`, without a reserved place.
    std::uint64_t openShared = 0;
    /// Incoming connections refused in `hello` or because of the bound on connections.
    std::uint64_t refusals = 0;
    /// Connections ended because of a malformed message.
    std::uint64_t malformed = 0;
    /// Forwarded calls refused because they arrived after their deadline.
    std::uint64_t lateForwards = 0;
};

} // namespace chervilport
