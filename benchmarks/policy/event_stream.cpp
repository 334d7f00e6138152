#include "benchmarks/policy/event_stream.h"

namespace chervilport::policy_benchmark {

std::int64_t acceleratorsOf(const job_spec& spec)
{
    return static_cast<std::int64_t>(spec.taskCount) * spec.perTask.accelerators;
}

bool isMeasured(const stream_job& job) { return job.canRun && !job.cancelAt; }

} // namespace chervilport::policy_benchmark
