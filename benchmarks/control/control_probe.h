#pragma once

#include "tests/session/session_cluster.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Resource use and control traffic of an instance since its start.
struct control_sample {
    /// Seconds on the monotonic clock.
    double time = 0;
    /// Processor time in seconds.
    double cpuSeconds = 0;
    /// Resident memory in bytes.
    double residentBytes = 0;
    /// Bytes of TCP payload to and from other instances.
    double peerBytes = 0;
    /// Replication messages and notices to and from other instances.
    double peerMessages = 0;
    /// Bytes of control HTTP to and from workers, executors and callers.
    double httpBytes = 0;
    /// Messages of control HTTP in both directions.
    double httpMessages = 0;
};

/// Rates between two samples.
struct control_rates {
    /// Processor time over elapsed time; 1 is one core.
    double coreShare = 0;
    /// Resident memory at the end, in bytes.
    double residentBytes = 0;
    /// Bytes per second to and from other instances.
    double peerBytes = 0;
    /// Messages per second to and from other instances.
    double peerMessages = 0;
    /// Bytes per second of control HTTP.
    double httpBytes = 0;
    /// Messages per second of control HTTP.
    double httpMessages = 0;
};

/// Reads a sample of an instance.
control_sample sampleInstance(const session_cluster&, std::uint64_t id);

/// Returns the rates between two samples.
control_rates ratesBetween(const control_sample& from, const control_sample& to);

/// Waits the given seconds and returns the rates of an instance over this time.
control_rates observeInstance(const session_cluster&, std::uint64_t id, double seconds);

/// Returns the quantile at a fraction, 0 to 1; 0 if there are no values.
double quantile(std::vector<double> values, double fraction);

/// Returns seconds on the monotonic clock.
double nowSeconds();

/// Submits a job that is refused after its submission was committed, which measures a commit without filling the
/// queue. Returns whether the response was this refusal.
bool commitOnce(const session_cluster&, std::uint64_t id);

} // namespace chervilport
