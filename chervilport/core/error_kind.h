#pragma once

#include "chervilport/core/run_outcome.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace chervilport {

/// Kinds of errors that a client or an operator can see. The list is complete.
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

/// Properties of an error kind: one row of the table of all kinds.
struct error_properties {
    /// The kind.
    error_kind kind;
    /// Name in JSON bodies and logs.
    std::string_view name;
    /// HTTP status code.
    int httpStatus;
    /// Exit code of the command line.
    int exitCode;
    /// What the error response says about the execution of the request or job.
    run_outcome outcome;
    /// Whether the error response has a `Retry-After` header.
    bool hasRetryAfter;
};

/// Returns the properties of a kind.
const error_properties& errorPropertiesOf(error_kind);

/// Returns the properties of all kinds, in the order of the enumeration.
std::span<const error_properties> allErrorProperties();

/// Returns the kind with the given JSON name, or nothing if the name is unknown.
std::optional<error_kind> errorKindFromName(std::string_view name);

} // namespace chervilport
