#pragma once

#include <set>
#include <string>

namespace chervilport {

class metric_registry;

namespace batch {
    struct batch_state;
    struct command_batch;
} // namespace batch

/// Returns the jobs of which commands of the batch end runs or record crashes.
std::set<std::string> jobsWithEndedRuns(const batch::command_batch&);

/// Logs and counts the workers that a batch removes, and the runs that are lost with them. Called by the leader before
/// it applies the batch.
void logEndedWorkers(const batch::batch_state&, const batch::command_batch&, metric_registry&);

/// Logs and counts the crashes of workers that a batch records, and the jobs that it ends. Called by the leader after
/// it has applied the batch.
void logEndedJobs(const batch::batch_state&, const batch::command_batch&, metric_registry&);

} // namespace chervilport
