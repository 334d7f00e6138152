#pragma once

#include "chervilport/batch/queue_config.h"
#include "chervilport/batch/workspace_quota.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// The configuration of a site: one document, replaced as a whole.
struct site_config {
    /// Version that the operator chose; 0 when there is none yet.
    std::uint64_t version = 0;
    /// Queues.
    std::vector<queue_config> queues;
    /// Names of the pools of workers.
    std::vector<std::string> services;
    /// Workspaces.
    std::vector<workspace_quota> workspaces;
    /// Largest body of a call in bytes; 0 for the default.
    std::int64_t maxBodyBytes = 0;
    /// The document as the operator sent it, for reading back.
    std::string document;
};

} // namespace chervilport::batch
