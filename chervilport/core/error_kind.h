#pragma once

#include "chervilport/core/run_outcome.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace chervilport {

/// The closed list of errors that a caller or operator can see.
enum class error_kind : std::uint8_t {
    InvalidRequest,
    Unauthenticated,
    Forbidden,
    NotFound,
    Gone,
    VersionConflict,
    KeyReused,
    TooLarge,
    Infeasible,
    QuotaExceeded,
    Overloaded,
    DeadlineExceeded,
    NoUpstream,
    NotLeader,
    Unavailable,
    Draining,
    StillRunning,
    OutcomeUnknown,
    UpstreamFailed,
    StorageFailure,
    Internal,
};

/// One row of the table from error kind to answer.
struct error_properties {
    /// The kind that the row is for.
    error_kind kind;
    /// Name in JSON bodies and logs.
    std::string_view name;
    /// HTTP status code.
    int httpStatus;
    /// Exit code of the command line.
    int exitCode;
    /// What the answer says about execution.
    run_outcome outcome;
    /// Whether the answer carries a `Retry-After` header.
    bool hasRetryAfter;
};

/// Returns the row of a kind.
const error_properties& errorPropertiesOf(error_kind);

/// Returns all rows, one per kind, in the order of the enumeration.
std::span<const error_properties> allErrorProperties();

/// Returns the kind with the given JSON name, or nothing if there is none.
std::optional<error_kind> errorKindFromName(std::string_view name);

} // namespace chervilport
