#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/task_ref.h"
#include "chervilport/control/loss_cause.h"
#include "chervilport/control/progress_observation.h"
#include "chervilport/control/worker_client.h"
#include "chervilport/core/log_time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chervilport {

/// Progress of the start of a run, as seen by the leader.
enum class start_phase : std::uint8_t {
    /// No start request was sent in this term.
    Unsent,
    /// A start request is in flight.
    InFlight,
    /// A start request had no response, or the worker could not accept it yet; it will be retried.
    Retry,
    /// The worker reported that it has the run, or that the run has ended or was stopped there.
    Confirmed,
    /// The leader no longer tries to start the run; a stop request ensures that it never starts.
    Abandoned,
};

/// State of an active run on the leader.
struct run_tracker {
    /// Tracked run.
    batch::run_ref run;
    /// Progress of its start.
    start_phase phase = start_phase::Unsent;
    /// Number of start requests sent.
    int attempts = 0;
    /// Whether a start request may have reached the worker.
    bool mayHaveArrived = false;
    /// Whether the worker confirmed or reported that it executes the run.
    bool hasRun = false;
    /// Whether the current incarnation of the worker has listed the run, or its end.
    bool isListed = false;
    /// Time from which none of its start requests can reach a later incarnation of the worker, unless one is in flight.
    log_time startsSettledAt;
    /// Whether all its start requests reached the current incarnation, an earlier one or none.
    bool isSettled = false;
    /// Whether this instance sent the start request, without a checkpoint.
    bool startedFromScratch = false;
    /// When the start was confirmed.
    log_time confirmedAt;
    /// Whether the run is to be stopped.
    bool stopRequested = false;
    /// Why it was stopped or given up, when this leader knows.
    std::optional<loss_cause> lossCause;
    /// Number of stop requests that have completed, with or without a response.
    int stopAttempts = 0;
    /// Whether a stop request is in flight.
    bool stopInFlight = false;
    /// Whether the worker confirmed a stop request, and when.
    bool stopConfirmed = false;
    log_time stopConfirmedAt;
    /// Whether the end of the run was proposed to the replication group.
    bool endProposed = false;
    /// Observation of its progress.
    progress_observation progress;
    /// Newest checkpoint.
    std::string checkpoint;
};

/// Adds a run to the suspects of a crash of its worker if the worker executed it or may have done so.
void addSuspect(batch::worker_crashed&, const run_tracker&);

/// Returns whether the crash has suspects.
bool hasSuspects(const batch::worker_crashed&);

/// Returns whether the worker may have started the run and has not listed it, so that it may be in any incarnation.
bool isUnlisted(const run_tracker&);

/// Returns whether the response to a poll sent at this time shows that no start request of the run can reach a later
/// incarnation than the one that responded.
bool isSettledBy(const run_tracker&, log_time sentAt);

/// What follows a start request that failed.
enum class failed_start_action : std::uint8_t {
    /// The request may succeed later.
    Retry,
    /// No request has left this instance, so the run ends as not started and its task can be placed elsewhere.
    End,
    /// A stop has to ensure that the run never starts.
    Stop,
};

/// Records the reply to a start request that failed, and returns what follows.
failed_start_action recordFailedStart(run_tracker&, worker_reply);

/// Returns the end of a run that a poll sent at this time does not list; nothing while it can still start.
std::optional<batch::run_end_kind> endShownByAbsence(const run_tracker&, log_time sentAt);

/// Returns whether a run that a poll sent at this time does not list should be on the worker.
bool isMissing(const run_tracker&, log_time sentAt);

/// Returns why the work of a run is lost that ends in this way, which is not `Done`.
loss_cause causeOf(const run_tracker&, batch::run_end_kind);

/// Requires that a stop is confirmed from now on; earlier requests and confirmations do not count.
void requireNewStop(run_tracker&);

/// Tracks a run again whose end could not be committed.
void reopenAfterUncommittedEnd(run_tracker&, batch::run_end_kind);

} // namespace chervilport
