#pragma once

#include "benchmarks/policy/event_stream.h"
#include "benchmarks/policy/random_source.h"

#include <vector>

namespace chervilport::policy_benchmark {

/// Generates the faults of a stream whose site and workers are set. Faults of one worker do not overlap.
std::vector<stream_fault> generateFaults(const event_stream&, random_source&);

} // namespace chervilport::policy_benchmark
