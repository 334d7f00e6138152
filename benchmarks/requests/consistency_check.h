#pragma once

#include "benchmarks/requests/load_run.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilport {

/// Combined records of all executors.
struct executor_records {
    /// Runs by name of the request.
    std::map<std::string, int> runs;
    /// Sum of the time that slots were busy, in seconds.
    double busySeconds = 0;
    /// Number of slots.
    int slots = 0;
    /// Largest number of concurrent requests at one executor.
    int mostRunning = 0;
    /// Requests that executors refused.
    std::int64_t refused = 0;
};

/// Reads the records of all executors. Throws std::runtime_error if an executor does not respond.
executor_records readRecords(asio::io_context&, http_client&, const std::vector<std::string>& executors);

/// Numbers of inconsistencies between the responses to callers and the records of executors.
struct consistency_report {
    /// Requests without a complete response, and results of requests that no executor ran.
    int lost = 0;
    /// Results that differ from that of their request.
    int wrongResults = 0;
    /// Non-idempotent requests that ran more than once.
    int doubleRuns = 0;
    /// Requests that ran although they were reported to their caller as not run.
    int falseNotRun = 0;
};

/// Compares a run with the records of the executors.
consistency_report checkConsistency(const load_result&, const executor_records&);

} // namespace chervilport
