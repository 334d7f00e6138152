#pragma once

#include "chervilport/batch/batch_state.h"

#include <string>
#include <string_view>

namespace chervilport::batch {

/// Target and caller of a call.
struct resolved_call {
    /// Queue; valid until the state changes.
    const queue_config* queue = nullptr;
    /// Workspace of the caller; empty when a public queue is called without a known key.
    std::string workspace;
    /// Rest of the path after the prefix of the queue: the id of a job, or empty.
    std::string job;
};

/// Resolves the queue, workspace and job of a call. `host` may include a port. Throws chervilport_error: `Unavailable`
/// before the first configuration, `NotFound` for an unknown queue, `Unauthenticated` for an unknown key unless the
/// queue is public.
resolved_call resolveCall(const batch_state&, std::string_view host, std::string_view path, std::string_view key);

} // namespace chervilport::batch
