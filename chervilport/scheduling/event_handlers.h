#pragma once

#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/event.h"

#include <vector>

namespace chervilport {

struct schedule_state;

/// Handlers of the individual events. Each one updates the records, appends the resulting commands and returns whether
/// a scheduling pass is needed afterwards. `schedule_state::now` is already the time of the event.
bool handleEvent(schedule_state&, const configuration_changed&, std::vector<command>&);
bool handleEvent(schedule_state&, const job_submitted&, std::vector<command>&);
bool handleEvent(schedule_state&, const job_cancelled&, std::vector<command>&);
bool handleEvent(schedule_state&, const worker_joined&, std::vector<command>&);
bool handleEvent(schedule_state&, const worker_leaving&, std::vector<command>&);
bool handleEvent(schedule_state&, const worker_lost&, std::vector<command>&);
bool handleEvent(schedule_state&, const task_started&, std::vector<command>&);
bool handleEvent(schedule_state&, const task_ended&, std::vector<command>&);
bool handleEvent(schedule_state&, const task_stopped&, std::vector<command>&);
bool handleEvent(schedule_state&, const usage_reported&, std::vector<command>&);
bool handleEvent(schedule_state&, const timer_fired&, std::vector<command>&);

/// Ends queued jobs that can never run on the current fleet and configuration.
void endInfeasibleJobs(schedule_state&, std::vector<command>&);

} // namespace chervilport
