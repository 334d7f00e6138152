#pragma once

#include "chervilport/batch/waiting_step.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilport {

class metric_registry;

/// Ages at which the waits of jobs are logged next; one entry for each job that waits.
struct wait_log {
    std::map<std::string, std::int64_t> nextMs;
};

/// Logs what each job waits behind: once it has waited for a second, and again whenever its age has doubled. Sets the
/// gauges of the waiting steps. Jobs that no longer wait are forgotten.
void logWaits(wait_log&, const std::vector<batch::waiting_step>&, metric_registry&);

} // namespace chervilport
