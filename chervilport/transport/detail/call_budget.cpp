#include "chervilport/transport/detail/call_budget.h"

namespace chervilport {

namespace {

    std::size_t sizeOfHeaders(const std::vector<forward_header>& headers)
    {
        // Bytes of the lengths and pointers of one header in the encoding.
        constexpr std::size_t headerOverhead = 32;
        std::size_t bytes = 0;
        for (const auto& each : headers)
            bytes += headerOverhead + each.name.size() + each.value.size();
        return bytes;
    }

} // namespace

std::size_t sizeOf(const forward_call& call)
{
    return call.method.size() + call.path.size() + call.body.size() + sizeOfHeaders(call.headers);
}

std::size_t sizeOf(const forward_response& response) { return response.body.size() + sizeOfHeaders(response.headers); }

std::size_t maxPartBytes(const transport_limits& limits) { return limits.maxMessageBytes - limits.maxMessageBytes / 8; }

call_budget::call_budget(const transport_limits& limits)
    : m_maxCalls(limits.maxPendingForwards)
    , m_maxBytes(limits.maxPendingForwardBytes)
    , m_maxCallBytes(maxPartBytes(limits))
{
}

std::optional<error_kind> call_budget::tryAcquire(std::size_t bytes)
{
    if (bytes > m_maxCallBytes)
        return error_kind::TooLarge;
    const std::lock_guard lock(m_mutex);
    if (m_calls >= m_maxCalls || (m_calls > 0 && m_bytes + bytes > m_maxBytes))
        return error_kind::Overloaded;
    ++m_calls;
    m_bytes += bytes;
    return std::nullopt;
}

void call_budget::release(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    --m_calls;
    m_bytes -= bytes;
}

} // namespace chervilport
