#include "chervilport/transport/detail/send_queue.h"

#include "chervilport/transport/detail/call_budget.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    // Encoded bytes of the fixed parts of a message and of a log entry, before packing.
    constexpr std::size_t messageOverhead = 128;
    constexpr std::size_t entryOverhead = 40;

} // namespace

std::size_t sizeOf(const scoped_message& value)
{
    std::size_t bytes = messageOverhead;
    if (const auto* append = std::get_if<append_request>(&value.content.body)) {
        for (const auto& entry : append->entries)
            bytes += entryOverhead + entry.payload.size();
    } else if (const auto* install = std::get_if<snapshot_request>(&value.content.body)) {
        const auto members = install->content.members.voters.size() + install->content.members.learners.size();
        bytes += install->content.data.size() + members * entryOverhead;
    }
    return bytes;
}

send_queue::send_queue(const transport_limits& limits)
    : m_maxMessages(limits.maxQueuedMessages)
    , m_maxNotices(limits.maxQueuedNotices)
    , m_maxBytes(limits.maxQueuedBytes)
    , m_maxItemBytes(maxPartBytes(limits))
{
}

send_queue::push_result send_queue::push(envelope value)
{
    const std::lock_guard lock(m_mutex);
    push_result result;
    m_configurationVersion = std::max(m_configurationVersion, value.configurationVersion);
    m_hasUnsent = true;

    // Append the items that do not exceed the peer's bound on a message.
    for (auto& each : value.messages) {
        if (sizeOf(each) > m_maxItemBytes) {
            ++result.dropped;
            continue;
        }
        if (isOversized(each))
            result.dropped += dropOversizedMessages();
        m_bytes += countedBytes(each);
        m_messages.push_back(std::move(each));
    }
    for (auto& each : value.notices) {
        if (each.size() > m_maxItemBytes) {
            ++result.dropped;
            continue;
        }
        m_bytes += each.size();
        m_notices.push_back(std::move(each));
    }

    // Drop the oldest items above the bounds.
    while (m_messages.size() > m_maxMessages || (m_bytes > m_maxBytes && m_messages.size() > 1)) {
        dropOldestMessage();
        ++result.dropped;
    }
    while (m_notices.size() > m_maxNotices || (m_bytes > m_maxBytes && m_notices.size() > 1)) {
        dropOldestNotice();
        ++result.dropped;
    }

    result.needsWakeup = !std::exchange(m_isWakeupSent, true);
    return result;
}

bool send_queue::take(std::size_t maxBytes, envelope& output)
{
    const std::lock_guard lock(m_mutex);
    m_isWakeupSent = false;
    if (!m_hasUnsent)
        return false;
    output.configurationVersion = m_configurationVersion;
    std::size_t bytes = 0;

    // Move replication messages up to the given bytes.
    while (!m_messages.empty()) {
        const auto size = sizeOf(m_messages.front());
        if (bytes != 0 && bytes + size > maxBytes)
            break;
        bytes += size;
        m_bytes -= countedBytes(m_messages.front());
        output.messages.push_back(std::move(m_messages.front()));
        m_messages.pop_front();
    }

    // Fill the remaining bytes with notices.
    while (!m_notices.empty()) {
        const auto size = m_notices.front().size();
        if (bytes != 0 && bytes + size > maxBytes)
            break;
        bytes += size;
        m_bytes -= size;
        output.notices.push_back(std::move(m_notices.front()));
        m_notices.pop_front();
    }
    m_hasUnsent = !m_messages.empty() || !m_notices.empty();
    return true;
}

std::size_t send_queue::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_messages.size() + m_notices.size();
}

bool send_queue::isOversized(const scoped_message& value) const { return sizeOf(value) > m_maxBytes; }

std::size_t send_queue::countedBytes(const scoped_message& value) const
{
    return isOversized(value) ? 0 : sizeOf(value);
}

std::uint64_t send_queue::dropOversizedMessages()
{
    return std::erase_if(m_messages, [this](const scoped_message& each) { return isOversized(each); });
}

void send_queue::dropOldestMessage()
{
    m_bytes -= countedBytes(m_messages.front());
    m_messages.pop_front();
}

void send_queue::dropOldestNotice()
{
    m_bytes -= m_notices.front().size();
    m_notices.pop_front();
}

} // namespace chervilport
