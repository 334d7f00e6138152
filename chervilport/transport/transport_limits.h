#pragma once

#include <chrono>
#include <cstddef>

namespace chervilport {

/// Bounds of the transport.
struct transport_limits {
    /// Maximum number of replication messages queued for one peer; the oldest is dropped first.
    std::size_t maxQueuedMessages = 512;
    /// Maximum number of notices queued for one peer; the oldest is dropped first.
    std::size_t maxQueuedNotices = 512;
    /// Maximum bytes queued for one peer. One message that exceeds the bound alone, such as a snapshot, is not counted.
    std::size_t maxQueuedBytes = std::size_t { 4 } * 1024 * 1024;
    /// Maximum number of `deliver` calls to one peer without a response; further envelopes stay in the queue.
    std::size_t maxPendingDelivers = 8;
    /// Maximum number of forwarded calls to one peer without a response; further calls fail with outcome `NotRun`.
    std::size_t maxPendingForwards = 256;
    /// Maximum bytes of these calls; a single larger call is accepted when no other call is pending.
    std::size_t maxPendingForwardBytes = std::size_t { 8 } * 1024 * 1024;
    /// Maximum number of accepted connections of instances without a reserved place that are open at the same time.
    /// An instance of the control group sets it by its descriptors.
    std::size_t maxAcceptedConnections = 128;
    /// Maximum number of accepted connections of instances with a reserved place. Above the size of any group, so that
    /// it bounds only a fault of the instances themselves.
    std::size_t maxReservedConnections = 128;
    /// Maximum number of accepted connections that have not completed `hello`.
    std::size_t maxUnidentifiedConnections = 256;
    /// Maximum bytes of one unpacked message in either direction. A larger message ends the connection.
    std::size_t maxMessageBytes = std::size_t { 32 } * 1024 * 1024;
    /// Time after which a `deliver` or `hello` call without a response ends the connection.
    std::chrono::milliseconds responseTimeout { 3000 };
    /// Lowest rate in bytes per millisecond at which an envelope may be transferred. The time at this rate is added to
    /// `responseTimeout`, so that a snapshot on a slow link does not end the connection.
    std::size_t minBytesPerMs = 1000;
    /// Delay before the first retry of a connection. It doubles with each failure.
    std::chrono::milliseconds firstBackoff { 50 };
    /// Maximum delay before a retry. It is below the shortest election timeout of a domain.
    std::chrono::milliseconds maxBackoff { 800 };
    /// Maximum delay before a retry at a peer that has no place. A refusal costs the peer a handshake, and a place
    /// becomes free only when another instance ends.
    std::chrono::milliseconds noPlaceBackoff { 8'000 };
};

} // namespace chervilport
