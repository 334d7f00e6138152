#pragma once

#include <cstdint>

namespace chervilport {

/// Result of a proposal to a replicated log.
enum class proposal_result : std::uint8_t {
    /// Committed and applied.
    Committed,
    /// Not in the log; it will never be committed.
    NotCommitted,
    /// Undecided: another leader may still commit it.
    Unknown,
};

} // namespace chervilport
