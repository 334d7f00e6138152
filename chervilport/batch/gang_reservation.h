#pragma once

#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/worker_slot.h"

#include <cstddef>
#include <string>

namespace chervilport::batch {

/// Number of workers that a pass may still reserve for waiting gangs.
struct gang_reservation_budget {
    std::size_t workers = 0;
};

/// Returns the budget of a pass: a fixed ratio of the usable workers that are not reserved for urgent jobs.
gang_reservation_budget makeGangReservationBudget(const worker_slots&);

/// Reserves workers for a gang that could not be placed, so that later jobs do not take the capacity that becomes free
/// there. Chooses the workers with the most free accelerators, all in one rack if the gang is rack-local. Reserves
/// nothing when the gang needs more workers than the budget has left. A reservation lasts until the end of the pass;
/// the next pass chooses the same workers again, since their free capacity has grown.
void reserveForGang(worker_slots&, const ready_step&, const std::string& service, gang_reservation_budget&);

} // namespace chervilport::batch
