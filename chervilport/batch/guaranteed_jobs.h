#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_estimates.h"

#include <set>
#include <string>

namespace chervilport::batch {

/// Priority of jobs that count towards a guarantee.
inline constexpr std::int64_t guaranteedPriority = 0;

/// Returns an upper bound on the accelerators that one occurrence of a job uses at once: the demand of all its steps.
std::int64_t peakAccelerators(const job_request&);

/// Returns the ids of the active jobs within the guarantees of their workspaces: in order of acceptance, up to the
/// first job whose peak accelerators exceed what is left of the guarantee. Expired jobs are skipped, so that the
/// guarantee serves jobs whose results are still useful.
std::set<std::string> guaranteedJobs(const batch_state&, const run_estimates&, std::int64_t nowMs);

} // namespace chervilport::batch
