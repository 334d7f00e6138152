#pragma once

#include "benchmarks/policy/event_stream.h"

namespace chervilport::policy_benchmark {

/// Returns a time in seconds that the mean completion time of the measured jobs of a stream cannot be below under any
/// scheduler. It is the larger of two bounds: the mean run time, and the mean completion time of the relaxation in
/// which the whole fleet works on one job at a time and may change between jobs at no cost.
double meanCompletionBoundSeconds(const event_stream&);

} // namespace chervilport::policy_benchmark
