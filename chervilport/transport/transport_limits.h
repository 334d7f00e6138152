#pragma once

#include <chrono>
#include <cstddef>

namespace chervilport {

/// Bounds of the transport.
struct transport_limits {
    /// Replication messages that wait for one peer at most; the oldest is dropped first.
    std::size_t maxQueuedMessages = 512;
    /// Notices that wait for one peer at most; the oldest is dropped first.
    std::size_t maxQueuedNotices = 512;
    /// Bytes that wait for one peer at most, besides one message that is larger on its own, such as a snapshot.
    std::size_t maxQueuedBytes = std::size_t { 4 } * 1024 * 1024;
    /// `deliver` calls to one peer without an answer at most; further envelopes wait in the queue.
    std::size_t maxPendingDelivers = 8;
    /// Forwarded calls to one peer without an answer at most; further ones are refused as not run.
    std::size_t maxPendingForwards = 256;
    /// Bytes of these calls at most; a single larger call passes when no other one waits.
    std::size_t maxPendingForwardBytes = std::size_t { 8 } * 1024 * 1024;
    /// Connections accepted at the same time at most; the 54 instances of the largest fleet fit twice.
    std::size_t maxAcceptedConnections = 128;
    /// Bytes of one unpacked message at most, both ways. A larger one ends the connection.
    std::size_t maxMessageBytes = std::size_t { 32 } * 1024 * 1024;
    /// Time after which an unanswered `deliver` or `hello` call ends the connection.
    std::chrono::milliseconds responseTimeout { 3000 };
    /// Slowest rate in bytes per millisecond at which a large envelope has to arrive; it extends `answerTimeout`, so
    /// that a snapshot on a slow link does not end the connection.
    std::size_t minBytesPerMs = 1000;
    /// First pause before a new attempt to connect. It doubles with each failure.
    std::chrono::milliseconds firstBackoff { 50 };
    /// Longest pause before a new attempt to connect. It stays below the shortest election timeout of a domain.
    std::chrono::milliseconds maxBackoff { 800 };
};

} // namespace chervilport
