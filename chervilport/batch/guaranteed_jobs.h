#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_estimates.h"

#include <set>
#include <string>

namespace chervilport::batch {

/// Priority of jobs that a guarantee covers.
inline constexpr std::int64_t guaranteedPriority = 0;

/// Returns the accelerators that a job can hold at once.
std::int64_t peakAccelerators(const job_request&);

/// Returns the ids of the active jobs that the guarantees of their workspaces cover: in order of acceptance, as long as
/// the sum of their needs stays within the guarantee. Jobs whose result comes too late to be of use are left out, so
/// that the guarantee goes to those that it still helps.
std::set<std::string> guaranteedJobs(const batch_state&, const run_estimates&, std::int64_t nowMs);

} // namespace chervilport::batch
