#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_slot.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace chervilport::batch {

/// Recent demand of the work of the highest priority, in workers of the mean size.
struct urgent_demand_window {
    /// Demand at a time.
    struct sample {
        /// Unix milliseconds.
        std::int64_t timeMs = 0;
        double workers = 0;
    };
    /// Newest last. Samples that a newer one equals or exceeds are removed, since they can no longer be the peak.
    std::deque<sample> samples;
};

/// Returns the demand of all unfinished tasks of the highest priority in the pool of a service, in its workers of the
/// mean size. Repeated jobs do not count.
double urgentDemand(const batch_state&, const worker_slots&, std::string_view service);

/// Adds a sample, removes those that are older than the window, and returns the peak of the window.
double addDemandSample(urgent_demand_window&, double workers, std::int64_t nowMs);

/// Returns whether less than half of every resource of the usable workers of a service is in use, so that no task has
/// to wait for capacity.
bool isMostlyIdle(const worker_slots&, std::string_view service);

/// Reserves workers of a service for jobs of the highest priority, rack by rack, so that they can be placed at once:
/// bursts of short urgent jobs arrive faster than other work can be stopped for them.
void reserveForUrgent(worker_slots&, std::string_view service, double peakWorkers);

} // namespace chervilport::batch
