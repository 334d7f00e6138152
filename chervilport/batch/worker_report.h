#pragma once

#include "chervilport/batch/resource_demand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport::batch {

/// Report of a worker about itself. A worker that restarts under the same id has a later `incarnation`.
struct worker_report {
    /// Id of the worker.
    std::string id;
    /// Start time of the worker, which identifies its incarnation, Unix milliseconds; 0 when unknown.
    std::int64_t incarnation = 0;
    /// Address at which the worker accepts calls, `ip:port`.
    std::string address;
    /// Pool that the worker belongs to.
    std::string service;
    /// Failure domain of the worker.
    std::string failureDomain;
    /// Rack, empty when unknown.
    std::string rack;
    /// Labels that steps can require.
    std::vector<std::string> labels;
    /// Total capacity.
    resource_demand capacity;
    /// Whether the worker drains: it is about to leave and gets no new runs.
    bool draining = false;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// Minimum time until a draining worker leaves, in milliseconds, at the time of this report.
    std::int64_t drainRemainingMs = 0;
    /// Machine that the worker runs on.
    std::string machine;
};

} // namespace chervilport::batch
