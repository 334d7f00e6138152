#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// One row of the report. Values that the scenario does not measure are empty.
struct scenario_row {
    /// Name of the scenario.
    std::string scenario;
    /// Requests sent.
    int requests = 0;
    /// Requests without a complete response or with a result that no executor produced.
    int lost = 0;
    /// Results that differ from that of their request.
    int wrongResults = 0;
    /// Non-idempotent requests that ran more than once.
    int doubleRuns = 0;
    /// Requests that ran although they were reported to their caller as not run.
    int falseNotRun = 0;
    /// Median latency through the instances minus the median of direct calls, in milliseconds.
    std::optional<double> addedP50Ms;
    /// 99th percentile of the latency of direct calls in milliseconds.
    std::optional<double> directP99Ms;
    /// 99th percentile of the latency through the instances in milliseconds.
    std::optional<double> p99Ms;
    /// Responses per second.
    std::optional<double> requestsPerSecond;
    /// Share of the time of all slots in which they were busy, 0 to 1.
    std::optional<double> slotUtilization;
    /// Jain's fairness index of the numbers of results of the workspaces; 1 if they are equal.
    std::optional<double> fairness;
    /// Largest resident memory of an instance in megabytes.
    std::optional<double> residentMb;
    /// Largest number of concurrent requests at an executor with 8 slots.
    std::optional<int> mostRunning;
    /// Requests that ended with their result.
    std::optional<int> results;
};

/// Runs all scenarios; `scale` multiplies the numbers of requests.
std::vector<scenario_row> runScenarios(std::uint64_t seed, double scale);

} // namespace chervilport
