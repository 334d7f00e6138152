#pragma once

#include <cstdint>

namespace chervilport {

/// What became of a proposal to a replicated log.
enum class proposal_result : std::uint8_t {
    /// It is committed and applied.
    Committed,
    /// It is not in the log and never will be.
    NotCommitted,
    /// It may still be committed by another leader.
    Unknown,
};

} // namespace chervilport
