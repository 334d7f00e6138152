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

/// Returns one JSON body per worker with its start, stop and throttle commands, each kind in the order of the commands.
/// The epoch lets a worker refuse the commands of an earlier leader.
std::map<std::string, std::string> batchWorkerCommands(
    std::span<const command>, const schedule_state&, std::uint64_t epoch);

} // namespace chervilport
