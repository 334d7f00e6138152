#pragma once

#include "chervilport/batch/task_ref.h"
#include "chervilport/core/log_time.h"

#include <chrono>
#include <map>
#include <vector>

namespace chervilport {

/// A run of a gang: its step with the index left at 0, and the number of the run.
using gang_run = batch::run_ref;

/// Names the run of a gang that a member's run belongs to.
gang_run gangOf(const batch::run_ref& member);

/// The runs of gangs of which some members have started and others have not. Members that have started wait for the
/// others for a bounded time; a gang that would not be complete by then is stopped as a whole before.
struct gang_start_tracker {
    /// When the first member of each incomplete gang was known to have started.
    std::map<gang_run, log_time> firstStarted;
};

/// Notes that a member has started. `complete` tells whether all others have started too.
void recordStart(gang_start_tracker&, const batch::run_ref& member, bool complete, log_time now);

/// Forgets a gang.
void removeGang(gang_start_tracker&, const gang_run&);

/// Returns the gangs that have waited longer than `timeout`, and forgets them.
std::vector<gang_run> takeIncomplete(gang_start_tracker&, log_time now, std::chrono::milliseconds timeout);

} // namespace chervilport
