#pragma once

#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_spec.h"
#include "chervilport/scheduling/resources.h"
#include "chervilport/scheduling/workspace_config.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Recomputes the capacity at the places of the witness on each worker from its instances.
void rebuildWitnessUse(schedule_state&);

/// Replaces the instances after a change of the guarantees, keeping the places of unchanged ones. The workspace indexes
/// of the current instances refer to `previous`.
void rebuildWitnessInstances(schedule_state&, std::span<const workspace_config> previous);

/// Finds new places for the instances that lost theirs, moving others where needed. Must be called after capacity was
/// lost, gained or taken by a non-preemptible job.
void repairWitness(schedule_state&);

/// Returns the accelerators of a workspace's guaranteed gangs that have no place.
std::int32_t missingAccelerators(const schedule_state&, std::size_t workspace);

/// Returns whether any workspace has a guaranteed gang without a place.
bool hasShortfall(const schedule_state&);

/// Returns, by worker, how much a non-preemptible job of a workspace may take so that every current place of the
/// witness stays valid. During a shortfall only the places of the workspace's own guarantee are allowed.
std::vector<resources> nonPreemptibleAllowance(const schedule_state&, std::size_t workspace);

/// Returns whether a non-preemptible job may take the given workers, moving places of the witness where needed. Places
/// move only if it returns true.
bool admitNonPreemptible(schedule_state&, const job_spec&, std::span<const std::int32_t> workers);

/// Appends a command for every workspace whose shortfall differs from the one last reported.
void reportShortfalls(schedule_state&, std::vector<command>&);

} // namespace chervilport
