#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/transport/forward_call.h"
#include "chervilport/transport/transport_limits.h"

#include <cstddef>
#include <mutex>
#include <optional>

namespace chervilport {

/// Returns the bytes of a forwarded call, without the fixed parts of its encoding.
std::size_t sizeOf(const forward_call&);

/// Returns the bytes of the response to a forwarded call, without the fixed parts of its encoding.
std::size_t sizeOf(const forward_response&);

/// Returns the maximum bytes of one part of a message; the rest is left for the other parts and the encoding.
std::size_t maxPartBytes(const transport_limits&);

/// Bounds the number and bytes of the pending forwarded calls to one peer. Safe on any thread.
class call_budget {
public:
    /// Creates an unused budget.
    explicit call_budget(const transport_limits&);

    /// Reserves budget for a call. Returns nothing on success, otherwise `TooLarge` or `Overloaded`.
    std::optional<error_kind> tryAcquire(std::size_t bytes);

    /// Releases the budget of a call of that size.
    void release(std::size_t bytes);

private:
    const std::size_t m_maxCalls;
    const std::size_t m_maxBytes;
    const std::size_t m_maxCallBytes;
    std::mutex m_mutex;
    std::size_t m_calls = 0;
    std::size_t m_bytes = 0;
};

} // namespace chervilport
