#pragma once

#include "chervilport/transport/configuration_copy.h"
#include "chervilport/transport/detail/loop_task_queue.h"
#include "chervilport/transport/detail/shared_counters.h"
#include "chervilport/transport/transport_callbacks.h"
#include "chervilport/transport/transport_identity.h"
#include "chervilport/transport/transport_limits.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace chervilport {

/// State shared by the parts of one transport.
struct transport_context {
    /// Own identity.
    const transport_identity identity;
    /// Callbacks of the user.
    const transport_callbacks callbacks;
    /// Bounds.
    const transport_limits limits;
    /// Tasks for the loop thread.
    loop_task_queue tasks;
    /// Counters.
    shared_counters counters;
    /// Guards `published`.
    std::mutex publishedMutex;
    /// Configuration that peers can fetch.
    configuration_copy published;
    /// Highest incarnation seen of each peer. Only on the loop thread.
    std::map<member_id, std::uint64_t> incarnations;

    /// Records an incarnation. Returns false when a newer one was recorded before. Only on the loop thread.
    bool recordIncarnation(member_id, std::uint64_t incarnation);

    /// Passes a message to the user's log.
    void log(const std::string&) const;
};

/// Compares two secrets in a time that depends only on their lengths.
bool equalsInConstantTime(std::string_view expected, std::string_view given);

/// Returns the name of an instance for logs.
std::string nameOf(member_id);

} // namespace chervilport
