#pragma once

#include "chervilport/batch/task_ref.h"
#include "chervilport/control/loss_cause.h"

#include <cstdint>
#include <functional>

namespace chervilport {

class metric_registry;

namespace batch {
    struct batch_state;
    struct command_batch;
} // namespace batch

/// Adds the work of an active run that ends now to the counter of its cause and queue, in core-seconds with an
/// accelerator counted as eight cores. A task that saves checkpoints loses at most the time between two of them, and a
/// long-running task loses nothing. `timeMs` is the time of the end, Unix milliseconds.
void countLostWork(const batch::batch_state&, const batch::run_ref&, loss_cause, std::int64_t timeMs, metric_registry&);

/// Counts the lost work of the runs that a batch ends other than `Done`. Called before the batch is applied, with a
/// function that returns the cause of an end.
void countLostWork(const batch::batch_state&, const batch::command_batch&,
    const std::function<loss_cause(const batch::run_ended&)>&, metric_registry&);

} // namespace chervilport
