#pragma once

#include "benchmarks/policy/fleet_map.h"
#include "benchmarks/policy/run_record.h"
#include "chervilport/scheduling/shape.h"

namespace chervilport::policy_benchmark {

/// Adds a sample of the free capacity to the sums; `largest` is the largest guaranteed shape.
void addFragmentationSample(fragmentation_sums&, const fleet_map& free, const shape& largest);

} // namespace chervilport::policy_benchmark
