#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// What a log entry holds.
enum class entry_kind : std::uint8_t {
    /// Nothing; committed by a new leader to commit the entries of earlier terms.
    Noop,
    /// A command of the state machine.
    Data,
    /// A new membership, effective from the moment it is appended.
    Membership,
};

/// An entry of the replicated log.
struct log_entry {
    /// Position in the log, from 1.
    std::uint64_t index = 0;
    /// Term of the leader that appended it.
    std::uint64_t term = 0;
    /// What the payload is.
    entry_kind kind = entry_kind::Noop;
    /// Encoded command or membership.
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace chervilport
