#pragma once

#include "benchmarks/requests/load_run.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilport {

/// What all executors together recorded.
struct executor_records {
    /// Runs by name of the request.
    std::map<std::string, int> runs;
    /// Time that slots were busy.
    double busySeconds = 0;
    /// Slots.
    int slots = 0;
    /// Most requests that an executor ran at the same time.
    int mostRunning = 0;
    /// Requests that executors refused.
    std::int64_t refused = 0;
};

/// Asks all executors for their records.
executor_records readRecords(asio::io_context&, http_client&, const std::vector<std::string>& executors);

/// Contradictions between what callers were told and what executors recorded.
struct consistency_report {
    /// Requests without a whole answer, and results of requests that no executor ran.
    int lost = 0;
    /// Results that are not those of the request.
    int wrongResults = 0;
    /// Non-idempotent requests that ran more than once.
    int doubleRuns = 0;
    /// Requests that ran although their caller was told that they did not.
    int falseNotRun = 0;
};

/// Compares a run with the records of the executors.
consistency_report checkConsistency(const load_result&, const executor_records&);

} // namespace chervilport
