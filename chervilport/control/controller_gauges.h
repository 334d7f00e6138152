#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace chervilport {

class metric_registry;

namespace batch {
    struct batch_state;
    struct worker_speeds;
} // namespace batch

/// What the gauges of a controller show.
struct controller_figures {
    const batch::batch_state& state;
    const batch::worker_speeds& speeds;
    bool isLeader = false;
    std::uint64_t term = 0;
    /// Number of workers that may get runs.
    std::size_t usableWorkers = 0;
    /// Number of jobs that have not started, by queue.
    std::map<std::string, std::size_t> pendingJobs;
};

/// Sets the gauges of the jobs and workers.
void setGauges(const controller_figures&, metric_registry&);

} // namespace chervilport
