#pragma once

#include "chervilport/batch/queue_config.h"
#include "chervilport/batch/workspace_quota.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// Configuration of a site: one document, which is replaced in full.
struct site_config {
    /// Version that the operator chose; 0 before the first configuration.
    std::uint64_t version = 0;
    /// Queues.
    std::vector<queue_config> queues;
    /// Names of the worker pools.
    std::vector<std::string> services;
    /// Workspaces.
    std::vector<workspace_quota> workspaces;
    /// Maximum size of the body of a call in bytes; 0 for the default.
    std::int64_t maxBodyBytes = 0;
    /// The document as the operator sent it, returned when the configuration is read.
    std::string document;
};

} // namespace chervilport::batch
