#include "chervilport/control/run_tracker.h"

namespace chervilport {

namespace {

    /// Start requests sent before the start of the run is abandoned.
    constexpr int maxStartAttempts = 4;
    /// Start requests that provably did not leave this instance before the run ends as not started, so that the task
    /// can be placed on another worker.
    constexpr int maxUnsentAttempts = 2;
    /// Minimum age of the confirmation of a start or a stop when a poll is sent that can show the run as missing. A run
    /// that such a poll does not list is not on the worker.
    constexpr std::chrono::milliseconds missingRunMinAge { 50 };

} // namespace

void addSuspect(batch::worker_crashed& crash, const run_tracker& tracker)
{
    const bool isUnconfirmed = tracker.phase != start_phase::Confirmed && !tracker.stopConfirmed
        && (tracker.mayHaveArrived || tracker.phase == start_phase::InFlight);
    if (tracker.hasRun)
        crash.runs.push_back(tracker.run);
    else if (isUnconfirmed)
        crash.unconfirmedRuns.push_back(tracker.run);
}

bool hasSuspects(const batch::worker_crashed& crash) { return !crash.runs.empty() || !crash.unconfirmedRuns.empty(); }

bool isUnlisted(const run_tracker& tracker)
{
    const bool mayBeStarted
        = tracker.mayHaveArrived || tracker.phase == start_phase::InFlight || tracker.phase == start_phase::Confirmed;
    return mayBeStarted && !tracker.isListed;
}

bool isSettledBy(const run_tracker& tracker, log_time sentAt)
{
    return tracker.phase != start_phase::InFlight && tracker.startsSettledAt < sentAt;
}

failed_start_action recordFailedStart(run_tracker& tracker, worker_reply reply)
{
    tracker.mayHaveArrived = tracker.mayHaveArrived || reply != worker_reply::NotSent;
    if (!tracker.mayHaveArrived && tracker.attempts >= maxUnsentAttempts)
        return failed_start_action::End;
    const bool mayRetry = reply == worker_reply::NoResponse || reply == worker_reply::NotSent
        || reply == worker_reply::LeaseExpired || reply == worker_reply::Unhealthy;
    return mayRetry && tracker.attempts < maxStartAttempts ? failed_start_action::Retry : failed_start_action::Stop;
}

std::optional<batch::run_end_kind> endShownByAbsence(const run_tracker& tracker, log_time sentAt)
{
    // A stop that was confirmed before the poll was sent prevents the run from starting later.
    if (!tracker.stopConfirmed || tracker.stopConfirmedAt + missingRunMinAge >= sentAt)
        return std::nullopt;
    return tracker.phase == start_phase::Confirmed ? batch::run_end_kind::Lost : batch::run_end_kind::NotStarted;
}

bool isMissing(const run_tracker& tracker, log_time sentAt)
{
    return tracker.phase == start_phase::Confirmed && tracker.confirmedAt + missingRunMinAge < sentAt;
}

void reopenAfterUncommittedEnd(run_tracker& tracker, batch::run_end_kind kind)
{
    tracker.endProposed = false;
    if (kind != batch::run_end_kind::Lost && kind != batch::run_end_kind::NotStarted)
        return;
    // The worker does not list an end of this kind, so a confirmed stop has to show again that the run has ended.
    if (tracker.phase != start_phase::Confirmed)
        tracker.phase = start_phase::Abandoned;
    requireNewStop(tracker);
}

loss_cause causeOf(const run_tracker& tracker, batch::run_end_kind kind)
{
    // A task can fail before a stop reaches it.
    if (kind == batch::run_end_kind::Failed)
        return loss_cause::TaskFailed;
    return tracker.lossCause.value_or(causeOf(kind));
}

void requireNewStop(run_tracker& tracker)
{
    tracker.stopRequested = true;
    tracker.stopConfirmed = false;
    tracker.stopInFlight = false;
}

} // namespace chervilport
