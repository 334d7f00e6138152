#pragma once

#include "chervilport/requests/access_policy.h"

#include <string>

namespace chervilport {

/// Reads bearer tokens from a file with one `token workspace` or `token operator` pair per line; empty lines and lines
/// that start with # are skipped. An empty path gives a policy that accepts every caller. Throws chervilport_error of
/// kind InvalidRequest that names the invalid line, without its token.
access_policy readTokens(const std::string& path);

} // namespace chervilport
