#pragma once

#include "chervilport/http/http_message.h"

#include <string_view>
#include <vector>

namespace chervilport {

/// Names of the header fields that the request path reads or sets.
namespace header_names {
    /// Bearer token of the caller.
    inline constexpr std::string_view authorization = "Authorization";
    /// Workspace of the caller.
    inline constexpr std::string_view workspace = "Chervilport-Workspace";
    /// Class of the request.
    inline constexpr std::string_view requestClass = "Chervilport-Class";
    /// Time in milliseconds, from receipt, within which the caller needs the response.
    inline constexpr std::string_view deadline = "Chervilport-Deadline-Ms";
    /// Idempotency key of a non-idempotent request.
    inline constexpr std::string_view key = "Chervilport-Key";
    /// Whether the request may run more than once: `true` or `false`.
    inline constexpr std::string_view idempotent = "Chervilport-Idempotent";
    /// Attempt number. An upstream repeats it in its response; a response with another number is rejected.
    inline constexpr std::string_view attempt = "Chervilport-Attempt";
    /// `not_run` in a response of status 503: the upstream refused the request before running any part of it.
    inline constexpr std::string_view outcome = "Chervilport-Outcome";
} // namespace header_names

/// Returns the fields without the hop-by-hop fields, which include those that `Connection` lists, and without `Host`,
/// `Expect` and `Content-Length`, which is set again when the message is sent.
std::vector<http_header> withoutHopByHopHeaders(const std::vector<http_header>&);

/// Returns the fields of a caller's request that are forwarded to the upstream: without the hop-by-hop fields, the
/// bearer token, and the fields that the request path sets itself.
std::vector<http_header> upstreamHeadersOf(const std::vector<http_header>&);

} // namespace chervilport
