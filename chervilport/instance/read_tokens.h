#pragma once

#include "chervilport/requests/access_policy.h"

#include <string>

namespace chervilport {

/// Reads bearer tokens from a file with one `token workspace` or `token operator` pair a line; empty lines and lines
/// that start with # are skipped. An empty path gives an open policy. Throws chervilport_error of kind InvalidRequest
/// that names the line at fault, without its token.
access_policy readTokens(const std::string& path);

} // namespace chervilport
