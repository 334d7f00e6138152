#pragma once

#include <cstdint>

namespace chervilport {

/// How a worker ends a task.
enum class stop_mode : std::uint8_t {
    /// Writes a checkpoint, then stops.
    Checkpoint,
    /// Stops at once.
    Kill,
};

} // namespace chervilport
