#pragma once

#include <cstdint>

namespace chervilport {

/// Orders requests to a worker. A worker refuses a request with a lower token than the highest that it has seen, so a
/// request with a higher token keeps all earlier ones that are still on their way from being executed after it.
struct fencing_token {
    /// Term of the leader.
    std::uint64_t term = 0;
    /// Epoch within the term.
    std::uint64_t epoch = 0;
};

/// Returns the token as a number that JSON represents exactly. The number rises with the term, and with the epoch
/// within a term until the epochs are used up.
std::uint64_t valueOf(const fencing_token&);

} // namespace chervilport
