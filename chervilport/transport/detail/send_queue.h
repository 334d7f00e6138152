#pragma once

#include "chervilport/transport/envelope.h"
#include "chervilport/transport/transport_limits.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace chervilport {

/// Returns the approximate bytes of a replication message in memory and on the wire.
std::size_t sizeOf(const scoped_message&);

/// The bounded queue of envelopes for one peer. Safe on any thread.
class send_queue {
public:
    /// Creates an empty queue with the bounds of the transport.
    explicit send_queue(const transport_limits&);

    /// The result of `push`.
    struct push_result {
        /// Messages and notices dropped because of the bounds.
        std::uint64_t dropped = 0;
        /// Whether the reader needs a wake-up: this is the first push since its last `take`.
        bool needsWakeup = false;
    };

    /// Adds an envelope. One message that is larger than the bound on bytes is queued without counting its bytes and
    /// replaces an earlier message of that kind, so that heartbeats do not displace a snapshot. Above the bounds the
    /// oldest replication messages are dropped, then the oldest notices.
    push_result push(envelope);

    /// Removes the oldest content up to the given bytes, at least one message or notice. Returns false when there is
    /// nothing to send.
    bool take(std::size_t maxBytes, envelope& output);

    /// Returns the number of queued messages and notices.
    std::size_t size() const;

private:
    bool isOversized(const scoped_message&) const;
    std::size_t countedBytes(const scoped_message&) const;
    std::uint64_t dropOversizedMessages();
    void dropOldestMessage();
    void dropOldestNotice();

    const std::size_t m_maxMessages;
    const std::size_t m_maxNotices;
    const std::size_t m_maxBytes;
    const std::size_t m_maxItemBytes;
    mutable std::mutex m_mutex;
    std::deque<scoped_message> m_messages;
    std::deque<std::string> m_notices;
    std::size_t m_bytes = 0;
    std::uint64_t m_configurationVersion = 0;
    bool m_hasUnsent = false;
    bool m_isWakeupSent = false;
};

} // namespace chervilport
