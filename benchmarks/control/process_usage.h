#pragma once

#include <sys/types.h>

namespace chervilport {

/// Resource use of a process.
struct process_usage {
    /// Processor time in user and kernel mode, in seconds.
    double cpuSeconds = 0;
    /// Resident memory, in bytes.
    double residentBytes = 0;
};

/// Reads the resource use of a running process from /proc.
process_usage readProcessUsage(pid_t);

} // namespace chervilport
