#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// One row of the report. A figure that the scenario does not measure is missing.
struct scenario_row {
    /// Name of the scenario.
    std::string scenario;
    /// Requests sent.
    int requests = 0;
    /// Requests without a whole answer or with a result that no executor has produced.
    int lost = 0;
    /// Results that are not those of their request.
    int wrongResults = 0;
    /// Non-idempotent requests that ran more than once.
    int doubleRuns = 0;
    /// Requests that ran although their caller was told that they did not.
    int falseNotRun = 0;
    /// Median over the instances less the median of direct calls, in milliseconds.
    std::optional<double> addedP50Ms;
    /// 99th percentile of direct calls in milliseconds.
    std::optional<double> directP99Ms;
    /// 99th percentile over the instances in milliseconds.
    std::optional<double> p99Ms;
    /// Answers a second.
    std::optional<double> requestsPerSecond;
    /// Share of the time of all slots that executors were busy.
    std::optional<double> slotUtilization;
    /// Jain's index over the results of the workspaces; 1 is even.
    std::optional<double> fairness;
    /// Largest resident memory of an instance in megabytes.
    std::optional<double> residentMb;
    /// Most requests at the same time at an executor with 8 slots.
    std::optional<int> mostRunning;
    /// Results, for the share of requests that succeeded.
    std::optional<int> results;
};

/// Runs all scenarios; `scale` multiplies the numbers of requests.
std::vector<scenario_row> runScenarios(std::uint64_t seed, double scale);

} // namespace chervilport
