#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// Kind of the payload of a log entry.
enum class entry_kind : std::uint8_t {
    /// No payload; appended by a new leader to commit the entries of earlier terms.
    Noop,
    /// A command of the state machine.
    Data,
    /// A new membership, effective as soon as it is appended.
    Membership,
};

/// An entry of the replicated log.
struct log_entry {
    /// Position in the log, from 1.
    std::uint64_t index = 0;
    /// Term of the leader that appended it.
    std::uint64_t term = 0;
    /// Kind of the payload.
    entry_kind kind = entry_kind::Noop;
    /// Encoded command or membership.
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace chervilport
