#pragma once

#include <cstdint>
#include <string>

namespace chervilport::batch {

/// A queue of jobs, found by host and path.
struct queue_config {
    /// Unique name.
    std::string name;
    /// Host that calls of the queue name.
    std::string host;
    /// Prefix of the path of a call; the rest is the job id.
    std::string pathPrefix;
    /// Pool of workers that runs the jobs.
    std::string service;
    /// Timeout of a call in milliseconds.
    std::int64_t timeoutMs = 0;
    /// Part of a job's latency objective that does not depend on its work, in milliseconds.
    std::int64_t baseObjectiveMs = 0;
    /// Factor on the expected time of a job's longest chain of steps in the latency objective.
    double stretch = 1.0;
    /// 0 is the highest priority; its jobs may preempt others within the guarantee of their workspace.
    std::int64_t priority = 0;
    /// Number of failed runs of a task after which its job fails.
    std::uint32_t maxAttempts = 1;
    /// Whether calls need no key.
    bool isPublic = false;

    friend bool operator==(const queue_config&, const queue_config&) = default;
};

} // namespace chervilport::batch
