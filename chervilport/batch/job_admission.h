#pragma once

#include "chervilport/batch/batch_state.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace chervilport::batch {

/// What a call is about, once its queue and its caller are known.
struct resolved_call {
    /// Queue; valid as long as the state is not changed.
    const queue_config* queue = nullptr;
    /// Workspace of the caller; empty on a public queue that was called without a key.
    std::string workspace;
    /// Rest of the path: the id of a job, or empty.
    std::string job;
};

/// Finds queue and workspace of a call. `host` may name a port. Throws chervilport_error: `Unavailable` while there is
/// no configuration, `NotFound` for an unknown queue, `Unauthenticated` for an unknown key.
resolved_call resolveCall(const batch_state&, std::string_view host, std::string_view path, std::string_view key);

/// Returns how many jobs of a queue wait for their first task, without those that have due times.
std::size_t countPendingJobs(const batch_state&, std::string_view queue);

} // namespace chervilport::batch
