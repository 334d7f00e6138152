#pragma once

#include <cstdint>

namespace chervilport {

/// How a worker is to end a task.
enum class stop_mode : std::uint8_t {
    /// Write a checkpoint, then stop.
    Checkpoint,
    /// Stop at once.
    Kill,
};

} // namespace chervilport
