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

/// Returns the bytes of the answer of a forwarded call.
std::size_t sizeOf(const forward_response&);

/// Returns the most bytes that one part may take in a message; the rest is room for the other parts of the call.
std::size_t maxPartBytes(const transport_limits&);

/// Bounds the number and bytes of the forwarded calls to one peer that have no answer. Safe on any thread.
class call_budget {
public:
    /// Creates an unused budget.
    explicit call_budget(const transport_limits&);

    /// Takes a place for a call. Returns nothing on success, otherwise `TooLarge` or `Overloaded`.
    std::optional<error_kind> tryAcquire(std::size_t bytes);

    /// Gives the place back.
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
