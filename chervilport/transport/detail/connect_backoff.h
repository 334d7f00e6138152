#pragma once

#include "chervilport/transport/transport_limits.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace chervilport {

/// How an attempt to connect, or the connection after it, ended.
enum class connect_result : std::uint8_t {
    /// The connection was lost, refused, or not established in time.
    Failed,
    /// The connection lasted, so that the next attempt may follow soon.
    Lasted,
    /// The peer has no place for this instance.
    NoPlace,
};

/// Pauses between the attempts of one instance to connect to a peer. Each pause is drawn from the upper half of its
/// range: all instances lose a peer at the same moment, and without the jitter they would also return together.
class connect_backoff {
public:
    /// Creates a backoff whose first pause is the shortest.
    connect_backoff(const transport_limits&, std::uint32_t seed);

    /// Returns the pause before the next attempt.
    std::chrono::milliseconds next(connect_result);

private:
    const std::chrono::milliseconds m_first;
    const std::chrono::milliseconds m_maximum;
    const std::chrono::milliseconds m_noPlace;
    std::chrono::milliseconds m_current;
    std::mt19937 m_random;
};

} // namespace chervilport
