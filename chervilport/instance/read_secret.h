#pragma once

#include <string>

namespace chervilport {

/// Returns the first line of a file, or an empty string when the path is empty. Throws chervilport_error of kind
/// InvalidRequest when the file cannot be read or its first line is empty.
std::string readSecret(const std::string& path);

} // namespace chervilport
