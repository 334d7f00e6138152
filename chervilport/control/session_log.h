#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/start_obstacle.h"
#include "chervilport/batch/worker_record.h"
#include "chervilport/control/end_acknowledgement.h"
#include "chervilport/control/run_tracker.h"
#include "chervilport/control/worker_client.h"
#include "chervilport/instance/proposal_result.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chervilport {

/// Lines that a worker session writes to the log. `worker` is the id of its worker.

/// The worker has responded for the first time in this term, or again.
void logWorkerReached(std::string_view worker, std::uint64_t term, const poll_response&);

/// The worker is a new incarnation; both are start times, Unix milliseconds. `acknowledged` is the number of the end up
/// to which the poll acknowledged that reached it.
void logWorkerRestarted(
    std::string_view worker, std::int64_t before, std::int64_t now, std::size_t runs, std::uint64_t acknowledged);

/// A poll acknowledges the ends up to this number. Both incarnations are start times, Unix milliseconds: the one that
/// listed the ends, and the one that the replicated state records.
void logEndsAcknowledged(
    std::string_view worker, std::uint64_t upTo, std::int64_t incarnation, std::int64_t recordedIncarnation);

/// Returns why a response that is not complete leaves something out, for logs and metrics.
std::string_view partialReasonOf(const poll_response&);

/// A worker has listed a part of its ends, or rows that cannot be read. `unlistedRuns` counts the tracked runs that it
/// may have and has not listed.
void logPartialList(
    std::string_view worker, const poll_response&, std::size_t unlistedRuns, const end_acknowledgement&);

/// A worker that says that it leaves has responded to the last poll, or not.
void logLastList(std::string_view worker, const poll_response&);

/// A worker lists the end of a run that is not tracked: another leader has recorded its end, or this one gave it up.
void logUnmatchedEnd(const reported_end&, std::string_view worker);

/// Another worker answered a request that was sent to an earlier incarnation; both are start times, Unix milliseconds.
void logOutdatedMismatch(std::string_view worker, std::int64_t requested, std::int64_t recorded);

/// A poll failed for the first time since the last response.
void logWorkerUnreachable(std::string_view worker, const worker_result&, std::size_t runs);

/// A run was not started because its worker takes no new runs, or none of this step.
void logStartWithheld(const batch::run_ref&, const batch::worker_record&, batch::start_obstacle);

/// A request about a run has completed, with or without a response.
void logRunRequest(
    std::string_view event, const batch::run_ref&, std::string_view worker, const worker_result&, int attempt);

/// A run is missing on its worker, or is there without an assignment.
void logUnexpectedRun(std::string_view event, const batch::run_ref&, std::string_view worker);

/// The end of a run is proposed.
void logRunEnded(const run_tracker&, std::string_view worker, batch::run_end_kind);

/// The end of a run could not be committed.
void logUncommittedEnd(const batch::run_ref&, std::string_view worker, batch::run_end_kind, proposal_result);

} // namespace chervilport
