#include "chervilport/control/worker_session.h"

#include "chervilport/batch/run_accounting.h"
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
    /// Start requests sent before the start of the run is abandoned.
    constexpr int maxStartAttempts = 4;
    /// Start requests that provably did not leave this instance before the run ends as not started, so that the task
    /// can be placed on another worker.
    constexpr int maxUnsentAttempts = 2;
    /// Time for which a worker that responds as unhealthy gets no new runs.
    constexpr std::chrono::milliseconds unhealthyBackoff { 2'000 };
    /// Minimum age of the confirmation of a start or a stop when a poll is sent that can show the run as missing. A run
    /// that such a poll does not list is not on the worker.
    constexpr std::chrono::milliseconds missingRunMinAge { 50 };
    /// A step back of a worker's clock by more than this, in milliseconds, shows another incarnation; reordered
    /// responses are less apart.
    constexpr std::int64_t clockStepBackMs = 2'000;

    std::string workerName(const batch::worker_record* worker)
    {
        return worker == nullptr ? "unknown" : worker->report.id;
    }

    /// Returns the running and ended runs of a response.
    std::set<batch::run_ref> runsIn(const poll_response& response)
    {
        std::set<batch::run_ref> runs;
        for (const auto& reported : response.running)
            runs.insert(reported.run);
        for (const auto& reported : response.ended)
            runs.insert(reported.run);
        return runs;
    }

    /// Adds a run to the suspects of a crash of its worker if the worker executed it or may have done so.
    void addSuspect(batch::worker_crashed& crash, const run_tracker& tracker)
    {
        const bool isUnconfirmed = tracker.phase != start_phase::Confirmed && !tracker.stopConfirmed
            && (tracker.mayHaveArrived || tracker.phase == start_phase::InFlight);
        if (tracker.hasRun)
            crash.runs.push_back(tracker.run);
        else if (isUnconfirmed)
            crash.unconfirmedRuns.push_back(tracker.run);
    }

    const char* nameOf(worker_reply reply)
    {
        switch (reply) {
        case worker_reply::Done:
            return "done";
        case worker_reply::Fenced:
            return "fenced";
        case worker_reply::OutdatedRun:
            return "outdated_run";
        case worker_reply::LeaseExpired:
            return "too_late";
        case worker_reply::InsufficientCapacity:
            return "no_room";
        case worker_reply::Refused:
            return "refused";
        case worker_reply::Unhealthy:
            return "unhealthy";
        case worker_reply::IncarnationMismatch:
            return "other_life";
        case worker_reply::NotSent:
            return "not_sent";
        case worker_reply::NoResponse:
            return "no_answer";
        }
        return "unknown";
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
    m_host.client->poll(target(), request, [self = shared_from_this(), now](const poll_response& response) {
        self->m_pollInFlight = false;
        if (!self->m_closed && !self->m_incarnationEnded)
            self->handlePoll(response, now);
    });
}

void worker_session::recordResult(const worker_result& result)
{
    m_now = monotonicNow();
    // Another incarnation numbers its ends from 1 again, so do not acknowledge them with the earlier numbers.
    if (result.clockMs && m_clock.readingMs && *result.clockMs + clockStepBackMs < *m_clock.readingMs) {
        m_acknowledgedEnd = 0;
        m_lastListedEnd = 0;
    }
    if (result.clockMs)
        recordReading(m_clock, *result.clockMs, m_now);
}

void worker_session::handlePoll(const poll_response& response, log_time sentAt)
{
    recordResult(response.result);
    if (response.result.reply != worker_reply::Done) {
        handleFailedPoll(response.result);
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
        logEvent("worker_reached",
            { { "worker", worker->report.id }, { "term", m_host.term }, { "running", response.running.size() },
                { "ended", response.ended.size() } });
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
    logEvent("worker_restarted",
        { { "worker", workerName(record()) }, { "born", incarnation }, { "before", m_incarnation },
            { "runs", m_runs.size() } },
        log_level::Warning);
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
        tracker.stopRequested = true;
        tracker.stopConfirmed = false;
        tracker.stopInFlight = false;
        sendStop(tracker);
    }
}

void worker_session::handleFailedPoll(const worker_result& result)
{
    if (result.reply == worker_reply::IncarnationMismatch) {
        endIncarnation("other life at its address");
        return;
    }
    ++m_failedPolls;
    if (m_failedPolls == 1) {
        logEvent("worker_unreachable",
            { { "worker", workerName(record()) }, { "reply", nameOf(result.reply) }, { "detail", result.detail },
                { "runs", m_runs.size() } },
            log_level::Warning);
        m_host.changed();
    }
    const auto backoff = firstPollBackoff * (1 << std::min(m_failedPolls - 1, 4));
    m_nextPoll = m_now + std::min<log_duration>(backoff, maxPollBackoff);
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
        // A stop that was confirmed before the poll was sent prevents the run from starting later.
        if (tracker.stopConfirmed && tracker.stopConfirmedAt + missingRunMinAge < sentAt) {
            proposeEnd(tracker,
                tracker.phase == start_phase::Confirmed ? batch::run_end_kind::Lost : batch::run_end_kind::NotStarted);
            continue;
        }
        if (tracker.phase == start_phase::Confirmed && tracker.confirmedAt + missingRunMinAge < sentAt) {
            logEvent(
                "run_missing", { { "run", describe(run) }, { "worker", workerName(record()) } }, log_level::Warning);
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
    const bool isEmpty = crash.runs.empty() && crash.unconfirmedRuns.empty();
    // A draining worker has announced its end.
    if (worker == nullptr || worker->report.draining || isEmpty || !m_host.mayExecute())
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
    if (worker != nullptr && !batch::acceptsRuns(m_host.state(), *worker)) {
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
    m_host.client->start(
        target(), request, [self = shared_from_this(), run = tracker.run](const worker_result& result) {
            if (!self->m_closed && !self->m_incarnationEnded)
                self->handleStart(run, result);
        });
}

void worker_session::withholdStart(run_tracker& tracker, const batch::worker_record& worker)
{
    logEvent("run_start_withheld",
        { { "run", describe(tracker.run) }, { "worker", worker.report.id }, { "domain", worker.report.failureDomain },
            { "reason", worker.report.draining ? "draining" : "evacuated" } });
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

void worker_session::handleStart(const batch::run_ref& run, const worker_result& result)
{
    recordResult(result);
    if (result.reply == worker_reply::IncarnationMismatch) {
        endIncarnation("other life at its address");
        return;
    }
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    auto& tracker = found->second;
    logEvent("run_start_sent",
        { { "run", describe(run) }, { "worker", workerName(record()) }, { "reply", nameOf(result.reply) },
            { "attempt", tracker.attempts }, { "detail", result.detail } });
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
    tracker.mayHaveArrived = tracker.mayHaveArrived || result.reply != worker_reply::NotSent;
    if (!tracker.mayHaveArrived && tracker.attempts >= maxUnsentAttempts) {
        proposeEnd(tracker, batch::run_end_kind::NotStarted);
        return;
    }
    // Retry when the request may succeed later; otherwise ensure with a stop that the run never starts.
    const bool isRetryable = result.reply == worker_reply::NoResponse || result.reply == worker_reply::NotSent
        || result.reply == worker_reply::LeaseExpired || result.reply == worker_reply::Unhealthy;
    if (isRetryable && tracker.attempts < maxStartAttempts) {
        tracker.phase = start_phase::Retry;
        return;
    }
    abandonStart(tracker);
}

void worker_session::sendStop(run_tracker& tracker)
{
    if (tracker.stopInFlight || tracker.stopConfirmed || tracker.endProposed || !m_host.mayExecute())
        return;
    tracker.stopInFlight = true;
    const stop_request request { tracker.run, m_host.term };
    const auto handle
        = [self = shared_from_this(), run = tracker.run, incarnation = m_incarnation](const worker_result& result) {
              if (self->m_closed || self->m_incarnationEnded)
                  return;
              self->recordResult(result);
              if (result.reply == worker_reply::IncarnationMismatch) {
                  self->endIncarnation("other life at its address");
                  return;
              }
              const auto found = self->m_runs.find(run);
              // A stop that an earlier incarnation confirmed does not prevent a start in the current one.
              if (found == self->m_runs.end() || incarnation != self->m_incarnation)
                  return;
              const auto attempt = ++found->second.stopAttempts;
              // A stop is retried until it is confirmed; log only the first and the last attempt.
              if (attempt == 1 || result.reply == worker_reply::Done)
                  logEvent("run_stop_sent",
                      { { "run", describe(run) }, { "worker", workerName(self->record()) },
                          { "reply", nameOf(result.reply) }, { "attempt", attempt }, { "detail", result.detail } });
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
    logEvent("stray_run_stopped", { { "run", describe(run) }, { "worker", workerName(record()) } }, log_level::Warning);
    m_host.client->stop(target(), { run, m_host.term }, [self = shared_from_this()](const worker_result& result) {
        if (!self->m_closed)
            self->recordResult(result);
    });
}

void worker_session::proposeEnd(run_tracker& tracker, batch::run_end_kind kind)
{
    tracker.endProposed = true;
    ++m_pendingProposals;
    logEvent("run_ended",
        { { "run", describe(tracker.run) }, { "worker", workerName(record()) }, { "how", batch::nameOf(kind) },
            { "saved", tracker.checkpoint } });
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
    logEvent("run_end_uncommitted",
        { { "run", describe(run) }, { "worker", workerName(record()) }, { "how", batch::nameOf(kind) },
            { "outcome", result == proposal_result::Unknown ? "unknown" : "not_committed" } },
        log_level::Warning);
    // Do not acknowledge the ends listed since, so that the worker lists them again.
    m_lastListedEnd = m_acknowledgedEnd;
    m_pollAgain = true;
    m_nextPoll = m_now + firstPollBackoff;
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    auto& tracker = found->second;
    tracker.endProposed = false;
    if (kind != batch::run_end_kind::Lost && kind != batch::run_end_kind::NotStarted)
        return;
    // The worker does not list an end of this kind, so a confirmed stop has to show again that the run has ended.
    if (tracker.phase != start_phase::Confirmed)
        tracker.phase = start_phase::Abandoned;
    tracker.stopRequested = true;
    tracker.stopConfirmed = false;
    tracker.stopInFlight = false;
}

void worker_session::afterProposal()
{
    if (m_pendingProposals == 0 && !m_closed && m_polled && m_failedPolls == 0)
        poll();
}

void worker_session::endIncarnation(const char* reason)
{
    if (m_incarnationEnded)
        return;
    m_incarnationEnded = true;
    reportCrash();
    logEvent("worker_life_ended", { { "worker", workerName(record()) }, { "reason", reason } }, log_level::Warning);
    m_host.propose(batch::worker_ended { m_worker }, [](proposal_result) {});
    m_host.changed();
}

} // namespace chervilport
