#pragma once

#include <cstdint>

namespace chervilport {

/// Orders the requests of all leaders to a worker. Its value is the fencing token of a request: a worker refuses a
/// request with a lower token than the highest that it has seen, so one with a higher token keeps all earlier ones that
/// are still on their way from being executed after it.
struct leader_epoch {
    /// Term of the leader.
    std::uint64_t term = 0;
    /// Epoch within the term.
    std::uint64_t epoch = 0;
};

/// Returns the fencing token, a number that JSON represents exactly. It rises with the term, and with the epoch within
/// a term until the epochs are used up.
std::uint64_t valueOf(const leader_epoch&);

} // namespace chervilport
