#pragma once

#include "chervilport/explain/log_line.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::explain {

/// One entry of a timeline. Consecutive lines with the same event and instance are merged into one entry.
struct timeline_entry {
    /// Time of the first line, ISO 8601.
    std::string time;
    /// Instance that wrote the lines.
    std::string instance;
    /// Name of the event.
    std::string event;
    /// Fields that all lines have in common, as `key=value` separated by spaces.
    std::string detail;
    /// Number of merged lines.
    std::size_t lines = 1;
    /// Whether the lines name the job; other entries are about its workers or the leader during that time.
    bool isOfJob = true;
};

/// Timeline of one job, built from logs.
struct job_timeline {
    /// Id of the job.
    std::string job;
    /// Entries in the order of their times.
    std::vector<timeline_entry> entries;
    /// One sentence on how the job ended and why, as far as the lines show it.
    std::string conclusion;
    /// Information that the lines do not contain.
    std::vector<std::string> missing;
};

/// Builds the timeline of a job from the lines of any number of instances, in any order.
job_timeline buildTimeline(std::span<const log_line>, std::string_view job);

} // namespace chervilport::explain
