#pragma once

#include "benchmarks/policy/event_stream.h"

namespace chervilport::policy_benchmark {

/// Returns a lower bound in seconds on the mean completion time of the measured jobs of a stream under any scheduler.
/// It is the larger of two bounds: the mean run time, and the mean completion time of the relaxation in which the
/// entire fleet processes one job at a time and switches between jobs at no cost.
double meanCompletionBoundSeconds(const event_stream&);

} // namespace chervilport::policy_benchmark
