#pragma once

#include <sys/types.h>

namespace chervilport {

/// What a process has used so far.
struct process_usage {
    /// Processor time in user and kernel mode, in seconds.
    double cpuSeconds = 0;
    /// Resident memory, in bytes.
    double residentBytes = 0;
};

/// Reads the use of a running process.
process_usage readProcessUsage(pid_t);

} // namespace chervilport
