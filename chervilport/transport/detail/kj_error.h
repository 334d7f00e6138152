#pragma once

#include <string>

namespace chervilport {

/// Throws a kj::Exception of the kind FAILED, which reaches the other end of a call, unless the condition holds.
void requireOrFail(bool condition, const std::string& reason);

} // namespace chervilport
