#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_report.h"

#include <vector>

namespace chervilport::batch {

/// Returns the workers that a report ends: another worker started later at their address.
std::vector<worker_number> replacedWorkers(const batch_state&, const worker_report&);

/// Returns whether a report must be recorded: its worker or incarnation is new, or the worker has changed.
bool changesWorker(const batch_state&, const worker_report&);

/// Returns whether a report must be ignored: it comes from an earlier incarnation than the recorded one under its id or
/// at its address, is not newer than the recorded report, or reverts the draining of the worker.
bool isOutdated(const batch_state&, const worker_report&);

/// Returns whether a report must be ignored because no configured service is named in it, unless it comes from a
/// recorded worker of that service. It may name the id or the address of a worker in use without being its report.
bool isOfUnknownService(const batch_state&, const worker_report&);

} // namespace chervilport::batch
