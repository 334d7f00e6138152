#pragma once

#include "chervilport/configuration/domain_capacity.h"
#include "chervilport/requests/claim_state.h"

#include <optional>

namespace chervilport {

struct http_response;

/// Responses of other instances. One that cannot be decoded, for instance because the peer runs another version, is
/// logged and counts like a missing one: it must not end this process.

/// Returns the outcome of a claim step; nothing for an error response or one that cannot be decoded, after which the
/// step may have been applied.
std::optional<claim_reply> readClaimResponse(const http_response&);

/// Returns the capacity of a failure domain; nothing for an error response or one that cannot be decoded.
std::optional<domain_capacity> readCapacityResponse(const http_response&);

} // namespace chervilport
