#pragma once

#include "chervilport/batch/batch_state.h"

#include <set>
#include <string>

namespace chervilport::batch {

/// Priority of jobs that a guarantee covers.
inline constexpr std::int64_t guaranteedPriority = 0;

/// Returns the accelerators that a job can hold at once.
std::int64_t peakAccelerators(const job_request&);

/// Returns the ids of the active jobs that the guarantees of their workspaces cover: in order of acceptance, as long as
/// the sum of their needs stays within the guarantee.
std::set<std::string> coveredJobs(const batch_state&);

} // namespace chervilport::batch
