#pragma once

#include "tests/session/session_cluster.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Use and traffic of an instance for control since its start.
struct control_sample {
    /// Seconds on the monotonic clock.
    double time = 0;
    /// Processor time in seconds.
    double cpuSeconds = 0;
    /// Resident memory in bytes.
    double residentBytes = 0;
    /// Bytes of TCP payload with other instances, both ways.
    double peerBytes = 0;
    /// Replication messages and notices with other instances, both ways.
    double peerMessages = 0;
    /// Bytes of HTTP for control with workers, executors and callers, both ways.
    double httpBytes = 0;
    /// Messages of HTTP for control, both ways.
    double httpMessages = 0;
};

/// Rates between two samples.
struct control_rates {
    /// Share of a core.
    double coreShare = 0;
    /// Resident memory at the end, in bytes.
    double residentBytes = 0;
    /// Bytes a second with other instances.
    double peerBytes = 0;
    /// Messages a second with other instances.
    double peerMessages = 0;
    /// Bytes a second of HTTP for control.
    double httpBytes = 0;
    /// Messages a second of HTTP for control.
    double httpMessages = 0;
};

/// Reads a sample of an instance.
control_sample sampleInstance(const session_cluster&, std::uint64_t id);

/// Returns the rates between two samples.
control_rates ratesBetween(const control_sample& from, const control_sample& to);

/// Observes an instance for some seconds.
control_rates observeInstance(const session_cluster&, std::uint64_t id, double seconds);

/// Returns the value at a share of the sorted values, 0 to 1; 0 when there are none.
double quantile(std::vector<double> values, double fraction);

/// Returns seconds on the monotonic clock.
double nowSeconds();

/// Sends a submission that is refused after it was committed, which measures a commit without filling the queue.
/// Returns whether it was answered so.
bool commitOnce(const session_cluster&, std::uint64_t id);

} // namespace chervilport
