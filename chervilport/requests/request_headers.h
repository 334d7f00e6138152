#pragma once

#include "chervilport/http/http_message.h"

#include <string_view>
#include <vector>

namespace chervilport {

/// Names of the header fields of the request path.
namespace header_names {
    /// Bearer token of the caller.
    inline constexpr std::string_view authorization = "Authorization";
    /// Workspace of the caller.
    inline constexpr std::string_view workspace = "Chervilport-Workspace";
    /// Class of the request.
    inline constexpr std::string_view requestClass = "Chervilport-Class";
    /// Milliseconds until the answer is of no more use.
    inline constexpr std::string_view deadline = "Chervilport-Deadline-Ms";
    /// Key of a non-idempotent request.
    inline constexpr std::string_view key = "Chervilport-Key";
    /// `true` or `false`.
    inline constexpr std::string_view idempotent = "Chervilport-Idempotent";
    /// Number of an attempt. An upstream repeats it in its response, which is refused if the number is another one.
    inline constexpr std::string_view attempt = "Chervilport-Attempt";
    /// `not_run` in a response of status 503: the upstream refused before it ran any part of the request.
    inline constexpr std::string_view outcome = "Chervilport-Outcome";
} // namespace header_names

/// Returns the fields without those that concern only one connection, including those that `Connection` names, and
/// without the length, which is set anew.
std::vector<http_header> withoutHopByHopHeaders(const std::vector<http_header>&);

/// Returns the fields of a caller's request that are passed on: without those of the connection, the bearer token, and
/// those that are set anew.
std::vector<http_header> upstreamHeadersOf(const std::vector<http_header>&);

} // namespace chervilport
