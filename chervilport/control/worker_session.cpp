#include "chervilport/control/worker_session.h"

#include "chervilport/batch/run_accounting.h"
#include "chervilport/control/session_log.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/logging/event_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilport {

namespace {

    /// Longest time for which a poll waits for the end of a run. While the worker responds, the lease is renewed as
    /// often.
    constexpr std::chrono::milliseconds pollWait { 2'000 };
    /// Backoff between polls without a response.
    constexpr std::chrono::milliseconds firstPollBackoff { 200 };
    constexpr std::chrono::milliseconds maxPollBackoff { 1'600 };
    /// Time for which a worker that responds as unhealthy gets no new runs.
    constexpr std::chrono::milliseconds unhealthyBackoff { 2'000 };

    /// Time that a report takes at most until it is recorded: a worker sends it again after a second without a
    /// response.
    constexpr std::chrono::milliseconds maxReportDelay { 1'000 };

    std::string workerName(const batch::worker_record* worker)
    {
        return worker == nullptr ? "unknown" : worker->report.id;
    }

    log_duration pollBackoffAfter(int failedPolls)
    {
        return std::min<log_duration>(firstPollBackoff * (1 << std::min(failedPolls - 1, 4)), maxPollBackoff);
    }

} // namespace

worker_session::worker_session(session_host host, batch::worker_number worker, log_time leaseEnd)
    : m_host(std::move(host))
    , m_worker(worker)
    , m_now(monotonicNow())
{
    m_clock.leaseEnd = leaseEnd;
    if (const auto* const known = record())
        m_incarnation = known->report.incarnation;
}

worker_session::~worker_session() = default;

const batch::worker_record* worker_session::record() const { return batch::findWorker(m_host.state(), m_worker); }

worker_target worker_session::target() const
{
    const auto* const worker = record();
    return worker == nullptr ? worker_target {} : worker_target { worker->report.address, worker->report.id };
}

void worker_session::open()
{
    for (const auto& run : batch::runsOn(m_host.state(), m_worker)) {
        run_tracker tracker { run };
        tracker.stopRequested = batch::findJob(m_host.state(), run.task.job)->phase != batch::job_phase::Active;
        // A start request of an earlier leader can still be in flight.
        tracker.mayHaveArrived = true;
        m_runs.emplace(run, std::move(tracker));
    }
    poll();
}

void worker_session::close() { m_closed = true; }

void worker_session::startRun(const batch::run_ref& run)
{
    auto& tracker = m_runs[run];
    tracker.run = run;
    if (m_polled && !hasRestarted())
        sendStart(tracker);
    if (!m_pollInFlight)
        poll();
}

bool worker_session::hasRestarted() const
{
    const auto* const worker = record();
    return worker != nullptr && worker->report.incarnation > m_incarnation;
}

void worker_session::stopRun(const batch::run_ref& run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end() || found->second.stopRequested)
        return;
    found->second.stopRequested = true;
    sendStop(found->second);
}

bool worker_session::hasStarted(const batch::run_ref& run) const
{
    const auto found = m_runs.find(run);
    return found != m_runs.end() && found->second.phase == start_phase::Confirmed;
}

void worker_session::tick(log_time now)
{
    m_now = now;
    if (m_closed || m_incarnationEnded)
        return;
    endExpiredRuns();
    // Retry starts and stops.
    for (auto& [run, tracker] : m_runs) {
        if (tracker.phase == start_phase::Retry && m_polled && m_failedPolls == 0 && !tracker.stopRequested)
            sendStart(tracker);
        else if (tracker.stopRequested && !tracker.stopConfirmed)
            sendStop(tracker);
    }
    // Poll until the first response, after a restart or a confirmed stop, while there are runs or ends to acknowledge,
    // and while the worker does not respond.
    const bool mustAcknowledge = m_lastListedEnd > m_acknowledgedEnd && m_pendingProposals == 0;
    const bool shouldPoll
        = !m_polled || hasRestarted() || !m_runs.empty() || mustAcknowledge || m_pollAgain || m_failedPolls > 0;
    if (shouldPoll && !m_pollInFlight && now >= m_nextPoll)
        poll();
}

void worker_session::poll()
{
    if (m_closed || m_incarnationEnded || m_pollInFlight || m_pendingProposals > 0 || !m_host.mayExecute()
        || record() == nullptr)
        return;
    const auto now = monotonicNow();
    poll_request request;
    request.fencingToken = m_host.term;
    m_acknowledgedEnd = std::max(m_acknowledgedEnd, m_lastListedEnd);
    request.acknowledgedEnd = m_acknowledgedEnd;
    // Do not renew the lease in a poll that may stay without a response, or the runs of a lost worker would never end.
    // In a poll that reaches another incarnation, the end of the lease would refer to the wrong clock.
    const bool expectsResponse = m_failedPolls == 0 && !hasRestarted() && !m_runs.empty();
    if (m_clock.readingMs && expectsResponse)
        request.leaseUntilMs = grantLease(m_clock, m_host.bounds.maxLease, now);
    if (m_polled && expectsResponse && !m_pollAgain)
        request.wait = pollWait;
    m_pollInFlight = true;
    m_pollAgain = false;
    m_host.client->poll(target(), request,
        [self = shared_from_this(), now, incarnation = recordedIncarnation()](const poll_response& response) {
            self->m_pollInFlight = false;
            if (!self->m_closed && !self->m_incarnationEnded)
                self->handlePoll(response, now, incarnation);
        });
}

void worker_session::recordResult(const worker_result& result)
{
    m_now = monotonicNow();
    // Another worker responded, with its own clock.
    if (result.reply == worker_reply::IncarnationMismatch)
        return;
    // Another incarnation numbers its ends from 1 again, so do not acknowledge them with the earlier numbers.
    if (result.clockMs && isOfAnotherIncarnation(m_clock, *result.clockMs)) {
        m_acknowledgedEnd = 0;
        m_lastListedEnd = 0;
    }
    if (result.clockMs)
        recordReading(m_clock, *result.clockMs, m_now);
}

void worker_session::handlePoll(const poll_response& response, log_time sentAt, std::int64_t polledIncarnation)
{
    recordResult(response.result);
    if (response.result.reply != worker_reply::Done) {
        handleFailedPoll(response.result, polledIncarnation);
        return;
    }
    const auto* const worker = record();
    if (worker == nullptr)
        return;
    // Some workers do not report their incarnation in responses to polls.
    const auto incarnation = response.incarnation != 0 ? response.incarnation : worker->report.incarnation;
    if (incarnation < m_incarnation)
        return;
    if (incarnation > m_incarnation) {
        // The new incarnation accepted the start requests of the runs that it lists.
        proposeCrash(runsIn(response));
        beginIncarnation(incarnation);
        reconcileEarlierIncarnation(response);
    }
    // Mark the worker as reachable.
    const bool wasUsable = isUsable();
    if (!m_polled || m_failedPolls > 0)
        logWorkerReached(worker->report.id, m_host.term, response);
    m_polled = true;
    m_failedPolls = 0;
    m_expiredRuns = {};
    m_nextPoll = m_now;
    // Compare the reported runs and ends with the tracked runs.
    reconcileEnds(response);
    reconcileRunning(response);
    reconcileMissing(response, sentAt);
    // Start the runs that were assigned before the first poll.
    for (auto& [run, tracker] : m_runs) {
        if (tracker.phase == start_phase::Unsent && !tracker.stopRequested && !tracker.endProposed)
            sendStart(tracker);
    }
    if (!wasUsable)
        m_host.changed();
    const bool mustAcknowledge = m_lastListedEnd > m_acknowledgedEnd;
    if (m_pendingProposals == 0 && (!m_runs.empty() || mustAcknowledge))
        poll();
}

void worker_session::beginIncarnation(std::int64_t incarnation)
{
    logWorkerRestarted(workerName(record()), m_incarnation, incarnation, m_runs.size());
    m_incarnation = incarnation;
    m_acknowledgedEnd = 0;
    m_lastListedEnd = 0;
    // Requests that the new incarnation accepted named a lease on the earlier clock. A worker limits such a lease to
    // `maxLease`.
    m_clock = {};
    m_clock.leaseEnd = m_now + localLeaseTime(m_host.bounds.maxLease);
}

void worker_session::reconcileEarlierIncarnation(const poll_response& response)
{
    if (response.result.clockMs)
        recordReading(m_clock, *response.result.clockMs, m_now);
    const auto listed = runsIn(response);
    for (auto& [run, tracker] : m_runs) {
        const bool neverSent = tracker.phase == start_phase::Unsent && !tracker.mayHaveArrived;
        if (tracker.endProposed || neverSent || listed.contains(run))
            continue;
        // The run ended with the earlier incarnation, but a start request in flight can still start it in this one.
        requireNewStop(tracker);
        sendStop(tracker);
    }
}

void worker_session::handleFailedPoll(const worker_result& result, std::int64_t incarnation)
{
    if (result.reply == worker_reply::IncarnationMismatch && endIncarnation(incarnation))
        return;
    ++m_failedPolls;
    if (m_failedPolls == 1) {
        logWorkerUnreachable(workerName(record()), result, m_runs.size());
        m_host.changed();
    }
    m_nextPoll = m_now + pollBackoffAfter(m_failedPolls);
}

void worker_session::reconcileEnds(const poll_response& response)
{
    for (const auto& reported : response.ended) {
        if (reported.number <= m_acknowledgedEnd)
            continue;
        m_lastListedEnd = std::max(m_lastListedEnd, reported.number);
        const auto found = m_runs.find(reported.run);
        if (found == m_runs.end() || found->second.endProposed)
            continue;
        if (!reported.checkpoint.empty())
            found->second.checkpoint = reported.checkpoint;
        proposeEnd(found->second, reported.kind);
    }
}

void worker_session::reconcileRunning(const poll_response& response)
{
    for (const auto& reported : response.running) {
        const auto found = m_runs.find(reported.run);
        if (found == m_runs.end()) {
            stopOrphan(reported.run);
            continue;
        }
        auto& tracker = found->second;
        tracker.hasRun = true;
        if (tracker.phase != start_phase::Confirmed)
            confirmStart(tracker);
        if (!reported.checkpoint.empty())
            tracker.checkpoint = reported.checkpoint;
        if (const auto pace = observeProgress(tracker.progress, reported.percent, m_now))
            m_host.progressed({ tracker.run.task, {}, m_worker, pace->workPerMs, pace->isLowerBound });
    }
}

void worker_session::reconcileMissing(const poll_response& response, log_time sentAt)
{
    std::set<batch::run_ref> listed;
    for (const auto& reported : response.running)
        listed.insert(reported.run);
    for (auto& [run, tracker] : m_runs) {
        if (tracker.endProposed || listed.contains(run))
            continue;
        if (const auto end = endShownByAbsence(tracker, sentAt)) {
            proposeEnd(tracker, *end);
            continue;
        }
        if (isMissing(tracker, sentAt)) {
            logUnexpectedRun("run_missing", run, workerName(record()));
            tracker.stopRequested = true;
            sendStop(tracker);
        }
    }
}

void worker_session::endExpiredRuns()
{
    if (m_failedPolls == 0 || m_runs.empty() || m_now <= m_clock.leaseEnd || !m_host.mayExecute())
        return;
    for (auto& [run, tracker] : m_runs) {
        if (tracker.endProposed)
            continue;
        addSuspect(m_expiredRuns, tracker);
        proposeEnd(tracker, batch::run_end_kind::Lost);
    }
}

void worker_session::reportCrash() { proposeCrash({}); }

void worker_session::proposeCrash(const std::set<batch::run_ref>& executedSince)
{
    auto crash = std::exchange(m_expiredRuns, {});
    crash.worker = m_worker;
    for (const auto& [run, tracker] : m_runs) {
        if (!tracker.endProposed && !executedSince.contains(run))
            addSuspect(crash, tracker);
    }
    const auto* const worker = record();
    // A draining worker has announced its end.
    if (worker == nullptr || worker->report.draining || !hasSuspects(crash) || !m_host.mayExecute())
        return;
    for (auto& [run, tracker] : m_runs)
        tracker.hasRun = false;
    m_host.propose(std::move(crash), [](proposal_result) {});
}

void worker_session::sendStart(run_tracker& tracker)
{
    const auto* const job = batch::findJob(m_host.state(), tracker.run.task.job);
    if (job == nullptr || !m_clock.readingMs || !m_host.mayExecute() || tracker.phase == start_phase::InFlight
        || tracker.phase == start_phase::Confirmed || tracker.endProposed)
        return;
    const auto* const worker = record();
    // The worker may have shrunk since the run was assigned, and a start would bring it over its capacity.
    const bool mayStart
        = worker == nullptr || (batch::acceptsRuns(m_host.state(), *worker) && !batch::isOvercommitted(*worker));
    if (!mayStart) {
        withholdStart(tracker, *worker);
        return;
    }
    const auto now = monotonicNow();
    start_request request;
    request.run = tracker.run;
    request.spec = job->request.spec;
    request.fencingToken = m_host.term;
    request.leaseUntilMs = grantLease(m_clock, m_host.bounds.maxLease, now);
    if (const auto* const task = batch::findTask(m_host.state(), tracker.run.task))
        request.checkpoint = task->checkpoint;
    ++tracker.attempts;
    tracker.startedFromScratch = tracker.attempts == 1 && request.checkpoint.empty();
    tracker.phase = start_phase::InFlight;
    m_host.client->start(target(), request,
        [self = shared_from_this(), run = tracker.run, incarnation = recordedIncarnation()](
            const worker_result& result) {
            if (!self->m_closed && !self->m_incarnationEnded)
                self->handleStart(run, result, incarnation);
        });
}

void worker_session::withholdStart(run_tracker& tracker, const batch::worker_record& worker)
{
    logStartWithheld(tracker.run, worker);
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

void worker_session::handleStart(const batch::run_ref& run, const worker_result& result, std::int64_t incarnation)
{
    recordResult(result);
    if (result.reply == worker_reply::IncarnationMismatch && endIncarnation(incarnation))
        return;
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    auto& tracker = found->second;
    logRunRequest("run_start_sent", run, workerName(record()), result, tracker.attempts);
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
    const stop_request request { tracker.run, m_host.term };
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
            logRunRequest("run_stop_sent", run, workerName(self->record()), result, attempt);
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
    logUnexpectedRun("stray_run_stopped", run, workerName(record()));
    m_host.client->stop(target(), { run, m_host.term }, [self = shared_from_this()](const worker_result& result) {
        if (!self->m_closed)
            self->recordResult(result);
    });
}

void worker_session::proposeEnd(run_tracker& tracker, batch::run_end_kind kind)
{
    tracker.endProposed = true;
    ++m_pendingProposals;
    logRunEnded(tracker, workerName(record()), kind);
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
    logUncommittedEnd(run, workerName(record()), kind, result);
    // Do not acknowledge the ends listed since, so that the worker lists them again.
    m_lastListedEnd = m_acknowledgedEnd;
    m_pollAgain = true;
    m_nextPoll = m_now + firstPollBackoff;
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

std::int64_t worker_session::recordedIncarnation() const
{
    const auto* const worker = record();
    return worker == nullptr ? 0 : worker->report.incarnation;
}

bool worker_session::endIncarnation(std::int64_t incarnation)
{
    // The request was sent to the address of an earlier incarnation; the current one may be elsewhere.
    if (incarnation != recordedIncarnation()) {
        logOutdatedMismatch(workerName(record()), incarnation, recordedIncarnation());
        return false;
    }
    m_incarnationEnded = true;
    reportCrash();
    logEvent("worker_life_ended", { { "worker", workerName(record()) }, { "reason", "other life at its address" } },
        log_level::Warning);
    m_host.propose(batch::incarnation_ended { m_worker, incarnation },
        [self = shared_from_this()](proposal_result) { self->resumeUnlessRemoved(); });
    m_host.changed();
    return true;
}

void worker_session::resumeUnlessRemoved()
{
    if (m_closed || record() == nullptr)
        return;
    // A later incarnation was recorded first, or the command was not committed. Responses that arrived meanwhile were
    // ignored, so send the requests again.
    m_incarnationEnded = false;
    for (auto& [run, tracker] : m_runs) {
        tracker.stopInFlight = false;
        if (tracker.phase != start_phase::InFlight)
            continue;
        tracker.phase = start_phase::Retry;
        tracker.mayHaveArrived = true;
    }
}

bool worker_session::canHaveDrained(log_time now) const { return now + maxReportDelay >= m_earliestEnd; }

} // namespace chervilport
