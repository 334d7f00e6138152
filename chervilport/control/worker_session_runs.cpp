#include "chervilport/batch/run_accounting.h"
#include "chervilport/control/session_log.h"
#include "chervilport/control/worker_session.h"
#include "chervilport/instance/monotonic_now.h"

#include <algorithm>
#include <utility>

/// Requests of a worker session about single runs, and the ends of runs that it proposes.

namespace chervilport {

namespace {

    /// Time for which a worker that responds as unhealthy gets no new runs.
    constexpr std::chrono::milliseconds unhealthyBackoff { 2'000 };
    /// Delay of the poll after the end of a run could not be committed.
    constexpr std::chrono::milliseconds uncommittedEndBackoff { 200 };

} // namespace

void worker_session::stopRun(const batch::run_ref& run, loss_cause cause)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || found->second.stopRequested)
        return;
    found->second.stopRequested = true;
    found->second.lossCause = cause;
    sendStop(found->second);
}

loss_cause worker_session::lossCauseOf(const batch::run_ref& run, batch::run_end_kind kind) const
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? causeOf(kind) : causeOf(found->second, kind);
}

void worker_session::sendStart(run_tracker& tracker)
{
    const auto* const job = batch::findJob(m_host.state(), tracker.run.task.job);
    if (job == nullptr || !m_clock.readingMs || !m_host.mayExecute() || m_hasUnknownRuns || m_hasMoreEnds
        || tracker.phase == start_phase::InFlight || tracker.phase == start_phase::Confirmed || tracker.endProposed)
        return;
    const auto* const worker = record();
    const auto obstacle = worker == nullptr ? batch::start_obstacle::None
                                            : batch::findStartObstacle(m_host.state(), *worker, *job, tracker.run.task);
    if (obstacle != batch::start_obstacle::None) {
        withholdStart(tracker, *worker, obstacle);
        return;
    }
    // The acknowledgement of an earlier incarnation must not discard the end of this run.
    if (isUnsettled(m_ends))
        beginEpoch();
    const auto now = monotonicNow();
    start_request request;
    request.run = tracker.run;
    request.spec = job->request.spec;
    request.fencingToken = fencingToken();
    request.leaseUntilMs = grantLease(m_clock, m_host.bounds.maxLease, now);
    if (const auto* const task = batch::findTask(m_host.state(), tracker.run.task))
        request.checkpoint = task->checkpoint;
    ++tracker.attempts;
    tracker.startedFromScratch = tracker.attempts == 1 && request.checkpoint.empty();
    tracker.phase = start_phase::InFlight;
    tracker.isSettled = false;
    ++m_startsInFlight;
    m_host.client->start(target(), request,
        [self = shared_from_this(), run = tracker.run, incarnation = recordedIncarnation(),
            token = request.fencingToken](const worker_result& result) {
            --self->m_startsInFlight;
            if (!self->m_closed && !self->m_incarnationEnded)
                self->handleStart(run, result, incarnation, token);
        });
}

void worker_session::withholdStart(
    run_tracker& tracker, const batch::worker_record& worker, batch::start_obstacle obstacle)
{
    logStartWithheld(tracker.run, worker, obstacle);
    if (tracker.mayHaveArrived)
        abandonStart(tracker);
    else
        proposeEnd(tracker, batch::run_end_kind::NotStarted);
}

void worker_session::abandonStart(run_tracker& tracker)
{
    tracker.phase = start_phase::Abandoned;
    tracker.stopRequested = true;
    sendStop(tracker);
}

void worker_session::handleStart(
    const batch::run_ref& run, const worker_result& result, std::int64_t incarnation, std::uint64_t token)
{
    recordResult(result);
    if (result.reply == worker_reply::IncarnationMismatch && endIncarnation(incarnation))
        return;
    if (result.reply != worker_reply::NotSent)
        extendLeases(m_clock, m_host.bounds.maxLease, m_now);
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    auto& tracker = found->second;
    tracker.startsSettledAt = std::max(tracker.startsSettledAt, m_now);
    logRunRequest("run_start_sent", run, name(), result, tracker.attempts);
    // A poll may have shown the run in the meantime.
    if (tracker.phase != start_phase::InFlight)
        return;
    if (result.reply == worker_reply::Done || result.reply == worker_reply::OutdatedRun) {
        tracker.hasRun = result.reply == worker_reply::Done;
        confirmStart(tracker);
        if (!m_pollInFlight)
            poll();
        return;
    }
    // A request of a later epoch was executed first.
    if (result.reply == worker_reply::Fenced && token < fencingToken()) {
        tracker.phase = start_phase::Retry;
        return;
    }
    retryOrAbandon(tracker, result);
}

void worker_session::confirmStart(run_tracker& tracker)
{
    tracker.phase = start_phase::Confirmed;
    tracker.confirmedAt = m_now;
    // A run that resumes from a checkpoint begins with an unknown part of its work done, and so does an adopted one.
    if (tracker.startedFromScratch)
        tracker.progress.since = m_now;
    m_host.started(tracker.run);
}

void worker_session::retryOrAbandon(run_tracker& tracker, const worker_result& result)
{
    if (result.reply == worker_reply::Unhealthy) {
        m_unhealthyUntil = m_now + unhealthyBackoff;
        m_host.changed();
    }
    switch (recordFailedStart(tracker, result.reply)) {
    case failed_start_action::Retry:
        tracker.phase = start_phase::Retry;
        return;
    case failed_start_action::End:
        proposeEnd(tracker, batch::run_end_kind::NotStarted);
        return;
    case failed_start_action::Stop:
        abandonStart(tracker);
        return;
    }
}

void worker_session::sendStop(run_tracker& tracker)
{
    if (tracker.stopInFlight || tracker.stopConfirmed || tracker.endProposed || !m_host.mayExecute())
        return;
    tracker.stopInFlight = true;
    const stop_request request { tracker.run, fencingToken() };
    const auto handle = [self = shared_from_this(), run = tracker.run, incarnation = m_incarnation,
                            recorded = recordedIncarnation()](const worker_result& result) {
        if (self->m_closed || self->m_incarnationEnded)
            return;
        self->recordResult(result);
        if (result.reply == worker_reply::IncarnationMismatch && self->endIncarnation(recorded))
            return;
        const auto found = self->m_runs.find(run);
        // A stop that an earlier incarnation confirmed does not prevent a start in the current one.
        if (found == self->m_runs.end() || incarnation != self->m_incarnation)
            return;
        const auto attempt = ++found->second.stopAttempts;
        // A stop is retried until it is confirmed; log only the first and the last attempt.
        if (attempt == 1 || result.reply == worker_reply::Done)
            logRunRequest("run_stop_sent", run, self->name(), result, attempt);
        found->second.stopInFlight = false;
        if (result.reply != worker_reply::Done)
            return;
        found->second.stopConfirmed = true;
        found->second.stopConfirmedAt = self->m_now;
        self->m_pollAgain = true;
    };
    m_host.client->stop(target(), request, handle);
}

void worker_session::stopOrphan(const batch::run_ref& run)
{
    logUnexpectedRun("stray_run_stopped", run, name());
    m_host.client->stop(target(), { run, fencingToken() }, [self = shared_from_this()](const worker_result& result) {
        if (!self->m_closed)
            self->recordResult(result);
    });
}

void worker_session::proposeEnd(run_tracker& tracker, batch::run_end_kind kind)
{
    tracker.endProposed = true;
    ++m_pendingProposals;
    logRunEnded(tracker, name(), kind);
    m_host.propose(batch::run_ended { tracker.run, m_worker, kind, tracker.checkpoint },
        [self = shared_from_this(), run = tracker.run, kind](proposal_result result) {
            --self->m_pendingProposals;
            if (result != proposal_result::Committed) {
                self->handleUncommittedEnd(run, kind, result);
                return;
            }
            self->m_host.ended(run, kind);
            self->m_runs.erase(run);
            self->afterProposal();
        });
}

void worker_session::handleUncommittedEnd(const batch::run_ref& run, batch::run_end_kind kind, proposal_result result)
{
    logUncommittedEnd(run, name(), kind, result);
    // Do not acknowledge the ends listed since, so that the worker lists them again.
    forgetUncommittedEnds(m_ends);
    m_pollAgain = true;
    m_nextPoll = m_now + uncommittedEndBackoff;
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    reopenAfterUncommittedEnd(found->second, kind);
}

void worker_session::afterProposal()
{
    if (m_pendingProposals == 0 && !m_closed && m_polled && m_failedPolls == 0)
        poll();
}

} // namespace chervilport
