#pragma once

#include <cstdint>
#include <string>

namespace chervilport::batch {

/// A queue of jobs, found by host and path.
struct queue_config {
    /// Unique name.
    std::string name;
    /// Host of the calls.
    std::string host;
    /// Start of the path; the rest is the job id.
    std::string pathPrefix;
    /// Pool of workers that runs the jobs.
    std::string service;
    /// Longest time for a call in milliseconds.
    std::int64_t timeoutMs = 0;
    /// Part of a job's latency objective that does not depend on its work, in milliseconds.
    std::int64_t baseObjectiveMs = 0;
    /// Factor on a job's longest chain of work in the latency objective.
    double stretch = 1.0;
    /// 0 comes first and may preempt others.
    std::int64_t priority = 0;
    /// Failed runs after which a task, and with it its job, has failed.
    std::uint32_t maxAttempts = 1;
    /// Whether calls need no key.
    bool isPublic = false;

    friend bool operator==(const queue_config&, const queue_config&) = default;
};

} // namespace chervilport::batch
