#pragma once

#include <cstdint>

namespace chervilport {

/// Service class of a job; the queue is ordered by class before deadline and age.
enum class job_class : std::uint8_t {
    /// Starts within 3.4 s of submission where its workspace's guarantee covers it.
    Urgent,
    /// Ordinary work, usually with a deadline.
    Standard,
    /// Work that may wait and may be preempted first.
    Batch,
};

} // namespace chervilport
