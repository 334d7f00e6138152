#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilport {

/// State machine of a domain log that a command is for.
enum class domain_command_kind : std::uint8_t {
    /// An encoded scheduling event.
    Scheduling = 1,
    /// An encoded step of a claim on a non-idempotent request.
    Claim = 2,
};

/// A command in the replicated log of a domain.
struct domain_command {
    /// State machine that applies it.
    domain_command_kind kind = domain_command_kind::Scheduling;
    /// Log time assigned by the leader that proposed it.
    log_time time;
    /// Encoded content.
    std::string content;
};

/// Encodes a command as one byte of kind, eight bytes of time (little-endian microseconds) and the content.
std::string encodeDomainCommand(const domain_command&);

/// Decodes a command. Throws chervilport_error of kind StorageFailure on invalid bytes.
domain_command decodeDomainCommand(std::string_view bytes);

/// State of the state machines of a domain at one index of its log.
struct domain_snapshot {
    /// Log time of the last command.
    log_time time;
    /// Encoded schedule.
    std::string schedule;
    /// Encoded claims.
    std::string claims;
};

/// Encodes a snapshot as eight bytes of time, eight bytes of schedule size (both little-endian), schedule and claims.
std::string encodeDomainSnapshot(const domain_snapshot&);

/// Decodes a snapshot. Throws chervilport_error of kind StorageFailure on invalid bytes.
domain_snapshot decodeDomainSnapshot(std::string_view bytes);

} // namespace chervilport
