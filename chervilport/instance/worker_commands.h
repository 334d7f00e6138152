#pragma once

#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/decision_core.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace chervilport {

/// Returns a task as JSON with `job`, `attempt` and `rank`.
nlohmann::json taskToJson(const task_id&);

/// Position of a batch of commands among all that a worker gets.
struct batch_position {
    /// Term of the leader. A worker refuses the commands of an earlier leader.
    std::uint64_t epoch = 0;
    /// Number of the batch within the epoch, from 1. A worker starts no tasks of a batch that arrives after a later
    /// one: it may have run them and forgotten them since.
    std::uint64_t sequence = 0;
};

/// Returns one JSON body per worker with its start, stop and throttle commands, each kind in the order of the commands,
/// and the incarnation of the worker that they are meant for.
std::map<std::string, std::string> batchWorkerCommands(
    std::span<const command>, const schedule_state&, const batch_position&);

} // namespace chervilport
