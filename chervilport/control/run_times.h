#pragma once

namespace chervilport {

namespace batch {
    struct batch_state;
    struct command_batch;
    struct run_estimates;
} // namespace batch

/// Records the run times of the runs that a batch ends as done. Called before the batch is applied.
void recordRunTimes(batch::run_estimates&, const batch::batch_state&, const batch::command_batch&);

} // namespace chervilport
