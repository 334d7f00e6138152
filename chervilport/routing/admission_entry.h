#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Class of a request; it decides the order within a workspace.
enum class request_class : std::uint8_t {
    /// Taken first.
    Urgent,
    /// The usual class.
    Standard,
    /// Taken last.
    Batch,
};

/// Number of request classes.
constexpr std::size_t requestClassCount = 3;

/// A request that waits for a slot.
struct admission_entry {
    /// Number of the request; unique within the queue.
    std::uint64_t id = 0;
    /// Workspace that it counts for.
    std::string workspace;
    /// Its class.
    request_class priority = request_class::Standard;
    /// Time until which an answer is useful.
    log_time deadline;
    /// When it was offered; set by the queue.
    log_time offeredAt;
};

} // namespace chervilport
