#pragma once

#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/worker_slot.h"

#include <cstddef>
#include <string>

namespace chervilport::batch {

/// Workers that a pass may still keep free for gangs that wait.
struct gang_reservation_budget {
    std::size_t workers = 0;
};

/// Returns the budget of a pass: a part of the workers that are not kept for urgent jobs.
gang_reservation_budget makeGangReservationBudget(const worker_slots&);

/// Keeps workers for a gang that found no room, so that jobs behind it do not fill them again as they become free:
/// those with the most room left, in one rack where the gang is fast there only. They are kept for the rest of the
/// pass; as they become emptier, the next pass takes the same ones.
void reserveForGang(worker_slots&, const ready_step&, const std::string& service, gang_reservation_budget&);

} // namespace chervilport::batch
