#pragma once

#include "chervilport/batch/resource_demand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// What a worker says of itself. A worker that restarts under the same id has a later `incarnation`.
struct worker_report {
    /// Id of the worker.
    std::string id;
    /// Start of this life of the worker, Unix milliseconds; 0 when unknown.
    std::int64_t incarnation = 0;
    /// Where the worker takes calls, `ip:port`.
    std::string address;
    /// Pool that the worker belongs to.
    std::string service;
    /// Failure domain.
    std::string failureDomain;
    /// Rack, empty when unknown.
    std::string rack;
    /// All labels.
    std::vector<std::string> labels;
    /// What the worker has.
    resource_demand capacity;
    /// Whether the worker is about to leave.
    bool draining = false;
    /// Rises with each report of one life.
    std::uint64_t sequence = 0;
    /// Least time until a draining worker leaves, in milliseconds, as of this report.
    std::int64_t drainRemainingMs = 0;
    /// Machine that the worker runs on.
    std::string machine;
};

} // namespace chervilport::batch
