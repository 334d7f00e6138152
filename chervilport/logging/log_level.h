#pragma once

#include <cstdint>

namespace chervilport {

/// Lowest severity that is written.
enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

} // namespace chervilport
