#pragma once

#include <string>

namespace chervilport {

/// Throws a kj::Exception of type FAILED unless the condition holds. Within a call, the peer receives the reason.
void requireOrFail(bool condition, const std::string& reason);

} // namespace chervilport
