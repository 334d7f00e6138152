#pragma once

#include "benchmarks/policy/event_stream.h"
#include "benchmarks/policy/measures.h"
#include "benchmarks/policy/run_record.h"

#include <string>
#include <vector>

namespace chervilport::policy_benchmark {

/// One row of the results.
struct result_row {
    /// Profile name.
    std::string profile;
    /// Load in thousandths.
    std::int32_t loadPermille = 0;
    /// Scheduler name.
    std::string scheduler;
    /// Seed of the stream.
    std::uint64_t seed = 0;
    /// Measurements.
    run_measures measures;
    /// Record of the run.
    run_record record;
};

/// Writes the rows as JSON. Throws std::runtime_error if the file cannot be written.
void writeJson(const std::string& path, const std::vector<result_row>&);

/// Prints the rows and compares them with the targets of docs/design.md.
void printTables(const std::vector<result_row>&);

} // namespace chervilport::policy_benchmark
