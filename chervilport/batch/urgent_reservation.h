#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_slot.h"

#include <cstdint>
#include <deque>

namespace chervilport::batch {

/// What the work of the highest priority needed lately, in whole workers.
struct urgent_demand_window {
    struct sample {
        /// Unix milliseconds.
        std::int64_t timeMs = 0;
        double workers = 0;
    };
    /// Newest last; only those that could become the peak are kept.
    std::deque<sample> samples;
};

/// Returns what the jobs of the highest priority use and wait for at the moment, in whole workers of the mean size.
double urgentDemand(const batch_state&, const worker_slots&);

/// Adds a sample and returns the peak of the window.
double addDemandSample(urgent_demand_window&, double workers, std::int64_t nowMs);

/// Whether less than half of every resource of the usable workers is in use, so that nothing has to wait for room.
bool isMostlyIdle(const worker_slots&);

/// Keeps workers free of work of lower priority, rack by rack, so that urgent jobs that come find room at once, as
/// bursts of short urgent jobs arrive faster than other work can be stopped for them.
void reserveForUrgent(worker_slots&, double peakWorkers);

} // namespace chervilport::batch
