#pragma once

#include "benchmarks/policy/event_stream.h"

namespace chervilport::policy_benchmark {

/// Generates the stream of a site at a load; the same arguments give the same stream on every platform.
event_stream generateStream(const profile&, std::int32_t loadPermille, std::uint64_t seed);

} // namespace chervilport::policy_benchmark
