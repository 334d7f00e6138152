#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Class of a request; determines the order within a workspace.
enum class request_class : std::uint8_t {
    /// Served first.
    Urgent,
    /// Default class.
    Standard,
    /// Served last.
    Batch,
};

/// Number of request classes.
constexpr std::size_t requestClassCount = 3;

/// A request that waits for a slot.
struct admission_entry {
    /// Number of the request; unique within the queue.
    std::uint64_t id = 0;
    /// Workspace that the request is accounted to.
    std::string workspace;
    /// Class of the request.
    request_class priority = request_class::Standard;
    /// Time by which the caller needs the response.
    log_time deadline;
    /// Time at which the request was offered; set by the queue.
    log_time offeredAt;
};

} // namespace chervilport
