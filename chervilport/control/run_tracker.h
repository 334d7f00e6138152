#pragma once

#include "chervilport/batch/task_ref.h"
#include "chervilport/core/log_time.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// How far the start of a run got, as the leader knows.
enum class start_phase : std::uint8_t {
    /// Not sent in this term.
    Unsent,
    /// An order is on its way.
    InFlight,
    /// An order had no answer, or the worker could not take it yet; it is sent again.
    Retry,
    /// The worker has the run, or had it.
    Confirmed,
    /// The worker will not take it; a stop makes sure of that.
    Abandoned,
};

/// What the leader knows of an active run.
struct run_tracker {
    batch::run_ref run;
    start_phase phase = start_phase::Unsent;
    /// Orders to start sent so far.
    int attempts = 0;
    /// Whether an order to start may have reached the worker.
    bool mayHaveArrived = false;
    /// When the start was confirmed.
    log_time confirmedAt;
    /// Whether the run has to stop.
    bool stopRequested = false;
    /// Orders to stop that were answered or given up so far.
    int stopAttempts = 0;
    /// Whether an order to stop is on its way.
    bool stopInFlight = false;
    /// Whether the worker confirmed an order to stop, and when.
    bool stopConfirmed = false;
    log_time stopConfirmedAt;
    /// Whether the end is proposed.
    bool endProposed = false;
    /// Newest saved progress.
    std::string checkpoint;
};

} // namespace chervilport
