#pragma once

#include "chervilport/batch/task_ref.h"
#include "chervilport/core/log_time.h"

#include <chrono>
#include <map>
#include <vector>

namespace chervilport {

/// Identifies a run of a gang: the run reference of its members with the task index set to 0.
using gang_run = batch::run_ref;

/// Returns the run of a gang that a member's run belongs to.
gang_run gangOf(const batch::run_ref& member);

/// Tracks the runs of gangs of which some members have started and others have not. Started members wait for the others
/// for a limited time; the leader stops the whole gang before that time is over.
struct gang_start_tracker {
    /// Time at which the first start of a member was confirmed, for each incomplete gang.
    std::map<gang_run, log_time> firstStartedAt;
};

/// Records that a member has started. `complete` says whether all other members have started too.
void recordStart(gang_start_tracker&, const batch::run_ref& member, bool complete, log_time now);

/// Stops tracking a gang.
void removeGang(gang_start_tracker&, const gang_run&);

/// Removes and returns the gangs that have been incomplete for at least `timeout`.
std::vector<gang_run> takeIncomplete(gang_start_tracker&, log_time now, std::chrono::milliseconds timeout);

} // namespace chervilport
