#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/event.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::policy_benchmark {

/// A scheduler under test, as functions that share a private state.
struct scheduler {
    /// Name in the results.
    std::string name;
    /// Applies an event and returns the commands, as `applyEvent` does.
    std::function<std::vector<command>(const event&, log_time)> apply;
    /// Returns the size of the encoded state in bytes; 0 where the scheduler has no encoding.
    std::function<std::size_t()> stateBytes;
};

/// Returns the names of all schedulers that this program was built with, the baselines last.
std::vector<std::string> schedulerNames();

/// Creates a scheduler with an empty state. Throws std::invalid_argument if the name is unknown.
scheduler makeScheduler(std::string_view name);

} // namespace chervilport::policy_benchmark
