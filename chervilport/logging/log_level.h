#pragma once

#include <cstdint>

namespace chervilport {

/// Severity of a log line, in rising order.
enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

} // namespace chervilport
