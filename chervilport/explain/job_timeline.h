#pragma once

#include "chervilport/explain/log_line.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::explain {

/// One step in what became of a job: lines that say the same of several of its runs are one entry.
struct timeline_entry {
    std::string time;
    std::string instance;
    /// Name of the lines.
    std::string event;
    /// Fields that all lines have in common, as `key=value`.
    std::string detail;
    /// Number of lines.
    std::size_t lines = 1;
    /// Whether the lines name the job; the others tell of its workers and of the leader meanwhile.
    bool isOfJob = true;
};

/// What logs tell of one job.
struct job_timeline {
    std::string job;
    std::vector<timeline_entry> entries;
    /// One sentence: how it ended and why, as far as the lines tell.
    std::string conclusion;
    /// What the lines do not tell.
    std::vector<std::string> missing;
};

/// Puts together what the lines of several instances tell of a job.
job_timeline buildTimeline(std::span<const log_line>, std::string_view job);

} // namespace chervilport::explain
