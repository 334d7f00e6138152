#include "chervilport/control/run_times.h"

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/run_accounting.h"
#include "chervilport/batch/run_estimates.h"

#include <variant>

namespace chervilport {

void recordRunTimes(batch::run_estimates& estimates, const batch::batch_state& state, const batch::command_batch& batch)
{
    for (const auto& command : batch.commands) {
        const auto* const ended = std::get_if<batch::run_ended>(&command);
        if (ended == nullptr || ended->kind != batch::run_end_kind::Done
            || !batch::isActive(state, ended->run, ended->worker))
            continue;
        const auto& job = state.jobs.at(ended->run.task.job);
        const auto startedMs = batch::findTask(state, ended->run.task)->startedMs;
        batch::recordRunTime(estimates, job.queue.name, batch.timeMs - startedMs);
    }
}

} // namespace chervilport
