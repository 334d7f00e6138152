#include "chervilport/control/worker_session.h"

#include "chervilport/batch/run_accounting.h"
#include "chervilport/control/leader_epoch.h"
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
    /// The same while an acknowledgement or starts wait for the next response.
    constexpr std::chrono::milliseconds shortPollWait { 200 };
    /// Longest time in which a request without a response reaches a worker: a connection is opened within it or not at
    /// all, and an open one leads to the incarnation that opened it.
    constexpr std::chrono::milliseconds maxRequestDelay { 1'000 };
    /// Backoff between polls without a response.
    constexpr std::chrono::milliseconds firstPollBackoff { 200 };
    constexpr std::chrono::milliseconds maxPollBackoff { 1'600 };

    log_duration pollBackoffAfter(int failedPolls)
    {
        return std::min<log_duration>(firstPollBackoff * (1 << std::min(failedPolls - 1, 4)), maxPollBackoff);
    }

} // namespace

worker_session::worker_session(session_host host, batch::worker_number worker, log_time leaseEnd)
    : m_host(std::move(host))
    , m_worker(worker)
    , m_epoch(m_host.takeEpoch())
    , m_now(monotonicNow())
{
    m_clock.leaseEnd = leaseEnd;
    if (const auto* const known = record())
        m_incarnation = known->report.incarnation;
}

worker_session::~worker_session() = default;

const batch::worker_record* worker_session::record() const { return batch::findWorker(m_host.state(), m_worker); }

std::string worker_session::name() const
{
    const auto* const worker = record();
    return worker == nullptr ? "unknown" : worker->report.id;
}

worker_target worker_session::target() const
{
    const auto* const worker = record();
    return worker == nullptr ? worker_target {} : worker_target { worker->report.address, worker->report.id };
}

std::uint64_t worker_session::fencingToken() const { return valueOf({ m_host.term, m_epoch }); }

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

void worker_session::close()
{
    m_closed = true;
    finishLastEnds(false);
}

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
    // Poll until the first response, after a restart or a confirmed stop, while there are runs, or ends to read or to
    // acknowledge, and while the worker does not respond.
    const bool hasEnds = mustAcknowledge(m_ends) && m_pendingProposals == 0;
    const bool shouldPoll = !m_polled || hasRestarted() || !m_runs.empty() || hasEnds || m_hasMoreEnds
        || m_hasUnknownRuns || m_pollAgain || m_failedPolls > 0;
    if (shouldPoll && !m_pollInFlight && now >= m_nextPoll)
        poll();
}

void worker_session::poll()
{
    if (m_closed || m_incarnationEnded || m_pollInFlight || m_pendingProposals > 0 || !m_host.mayExecute()
        || record() == nullptr)
        return;
    const auto now = monotonicNow();
    if (!m_firstPollAt)
        settleEarlierStarts(now);
    poll_request request;
    request.fencingToken = fencingToken();
    commitListedEnds(m_ends);
    const bool isWithheld = mustAcknowledge(m_ends) && !mayAcknowledge();
    if (mustAcknowledge(m_ends) && !isWithheld) {
        request.acknowledgedEnd = m_ends.committed;
        logEndsAcknowledged(name(), m_ends.committed, m_incarnation, recordedIncarnation());
    }
    recordAcknowledgementSent(m_ends, request.acknowledgedEnd);
    // Do not renew the lease in a poll that may stay without a response, or the runs of a lost worker would never end.
    // In a poll that reaches another incarnation, the end of the lease would refer to the wrong clock.
    const bool expectsResponse = m_failedPolls == 0 && !hasRestarted() && !m_runs.empty();
    if (m_clock.readingMs && expectsResponse)
        request.leaseUntilMs = grantLease(m_clock, m_host.bounds.maxLease, now);
    if (m_polled && expectsResponse && !m_pollAgain && !m_hasMoreEnds)
        request.wait = isWithheld || m_hasUnknownRuns ? shortPollWait : pollWait;
    m_pollInFlight = true;
    m_pollAgain = false;
    const sent_poll sent { now, m_incarnation, recordedIncarnation(), request.acknowledgedEnd, request.fencingToken,
        request.leaseUntilMs.has_value() };
    m_host.client->poll(target(), request,
        [self = shared_from_this(), sent](const poll_response& response) { self->completePoll(response, sent); });
}

void worker_session::completePoll(const poll_response& response, const sent_poll& sent)
{
    const auto self = shared_from_this();
    m_pollInFlight = false;
    const auto waiting = std::exchange(m_awaitingPoll, {});
    if (!m_closed && !m_incarnationEnded)
        handlePoll(response, sent);
    for (const auto& done : waiting)
        done(true);
}

bool worker_session::mayAcknowledge() const
{
    // A request reaches whichever incarnation is at the address. As long as no start request is on its way and every
    // run that the worker may have started was listed by the current incarnation, a later one has started none, and has
    // no ends to discard. A worker with many ends lists further ones only after an acknowledgement; then it is enough
    // that the start requests of the other runs can no longer reach a later incarnation.
    const auto canReachLaterIncarnation
        = [this](const auto& entry) { return isUnlisted(entry.second) && !(m_hasMoreEnds && entry.second.isSettled); };
    return m_failedPolls == 0 && !hasRestarted() && m_startsInFlight == 0
        && std::none_of(m_runs.begin(), m_runs.end(), canReachLaterIncarnation);
}

void worker_session::settleEarlierStarts(log_time firstPollAt)
{
    m_firstPollAt = firstPollAt;
    for (auto& [run, tracker] : m_runs)
        tracker.startsSettledAt = firstPollAt + maxRequestDelay;
}

void worker_session::settleStarts(log_time sentAt)
{
    for (auto& [run, tracker] : m_runs)
        tracker.isSettled = tracker.isSettled || isSettledBy(tracker, sentAt);
}

void worker_session::recordResult(const worker_result& result)
{
    m_now = monotonicNow();
    // Another worker responded, with its own clock.
    if (result.reply == worker_reply::IncarnationMismatch)
        return;
    // Another incarnation numbers its ends from 1 again, so do not acknowledge them with the earlier numbers.
    if (result.clockMs && isOfAnotherIncarnation(m_clock, *result.clockMs))
        restartNumbering(m_ends);
    if (result.clockMs)
        recordReading(m_clock, *result.clockMs, m_now);
}

void worker_session::handlePoll(const poll_response& response, const sent_poll& sent)
{
    recordResult(response.result);
    if (response.result.reply != worker_reply::Done) {
        handleFailedPoll(response.result, sent);
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
        // The new incarnation accepted the start requests of the runs that it lists. A run that a partial list leaves
        // out may be one of them, so it does not count as a suspect.
        if (isComplete(response))
            proposeCrash(runsIn(response));
        logWorkerRestarted(name(), m_incarnation, incarnation, m_runs.size(), sent.acknowledgedEnd);
        beginIncarnation(incarnation);
        reconcileEarlierIncarnation(response);
    }
    const bool isSameIncarnation = incarnation == sent.incarnation;
    recordAcknowledgementResult(m_ends, sent.acknowledgedEnd, isSameIncarnation, false);
    // Compare the reported runs and ends with the tracked runs.
    const bool wasUsable = isUsable();
    reconcileEnds(response);
    reconcileRunning(response);
    recordCompleteness(response);
    if (response.hasUnreadableRows) {
        // What the worker executes and has ended is not known. Without a renewed lease its runs end.
        recordFailedPoll({ worker_reply::Done, response.result.clockMs, "rows that cannot be read" });
        return;
    }
    // Mark the worker as reachable.
    if (!m_polled || m_failedPolls > 0)
        logWorkerReached(worker->report.id, m_host.term, response);
    m_polled = true;
    m_failedPolls = 0;
    m_expiredRuns = {};
    m_nextPoll = m_now;
    if (!response.hasMoreEnds && m_lastEndsSince < sent.at)
        finishLastEnds(true);
    settleStarts(sent.at);
    reconcileMissing(response, sent.at);
    // Start the runs that were assigned before the first poll.
    for (auto& [run, tracker] : m_runs) {
        if (tracker.phase == start_phase::Unsent && !tracker.stopRequested && !tracker.endProposed)
            sendStart(tracker);
    }
    if (!wasUsable)
        m_host.changed();
    const bool canAcknowledge = mustAcknowledge(m_ends) && mayAcknowledge();
    if (m_hasMoreEnds && !canAcknowledge) {
        // The worker would list the same ends again at once.
        m_nextPoll = m_now + shortPollWait;
        return;
    }
    if (m_pendingProposals == 0 && (!m_runs.empty() || canAcknowledge))
        poll();
}

void worker_session::beginIncarnation(std::int64_t incarnation)
{
    m_incarnation = incarnation;
    restartNumbering(m_ends);
    m_hasMoreEnds = false;
    for (auto& [run, tracker] : m_runs) {
        tracker.isListed = false;
        tracker.isSettled = false;
    }
    // The worker refuses requests that were meant for the earlier incarnation and are still on their way.
    beginEpoch();
    // Requests that the new incarnation accepted named a lease on the earlier clock. A worker limits such a lease to
    // `maxLease`.
    m_clock = {};
    m_clock.leaseEnd = m_now + localLeaseTime(m_host.bounds.maxLease);
}

void worker_session::beginEpoch()
{
    m_epoch = m_host.takeEpoch();
    chervilport::beginEpoch(m_ends);
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

void worker_session::handleFailedPoll(const worker_result& result, const sent_poll& sent)
{
    const bool canBeExecuted = result.reply == worker_reply::NoResponse;
    if (canBeExecuted && sent.grantsLease)
        extendLeases(m_clock, m_host.bounds.maxLease, std::min(m_now, sent.at + maxRequestDelay));
    recordAcknowledgementResult(m_ends, sent.acknowledgedEnd, false, canBeExecuted);
    if (result.reply == worker_reply::IncarnationMismatch && endIncarnation(sent.recordedIncarnation))
        return;
    // A start request of a later epoch was executed first.
    if (result.reply == worker_reply::Fenced && sent.fencingToken < fencingToken()) {
        m_pollAgain = true;
        return;
    }
    recordFailedPoll(result);
}

void worker_session::recordFailedPoll(const worker_result& result)
{
    ++m_failedPolls;
    finishLastEnds(false);
    if (m_failedPolls == 1) {
        logWorkerUnreachable(name(), result, m_runs.size());
        m_host.changed();
    }
    m_nextPoll = m_now + pollBackoffAfter(m_failedPolls);
}

void worker_session::recordCompleteness(const poll_response& response)
{
    m_hasMoreEnds = response.hasMoreEnds;
    if (isComplete(response))
        return;
    const auto unlisted
        = std::count_if(m_runs.begin(), m_runs.end(), [](const auto& entry) { return isUnlisted(entry.second); });
    logPartialList(name(), response, static_cast<std::size_t>(unlisted), m_ends);
    m_host.listedPartially(response);
}

void worker_session::reconcileEnds(const poll_response& response)
{
    for (const auto& reported : response.ended) {
        if (reported.number <= m_ends.committed)
            continue;
        // An acknowledgement must not pass an end that could not be read.
        if (!response.hasUnreadableRows)
            m_ends.listed = std::max(m_ends.listed, reported.number);
        const auto found = m_runs.find(reported.run);
        if (found == m_runs.end()) {
            logUnmatchedEnd(reported, name());
            continue;
        }
        found->second.isListed = true;
        if (found->second.endProposed)
            continue;
        if (!reported.checkpoint.empty())
            found->second.checkpoint = reported.checkpoint;
        proposeEnd(found->second, reported.kind);
    }
}

void worker_session::reconcileRunning(const poll_response& response)
{
    m_hasUnknownRuns = false;
    for (const auto& reported : response.running) {
        const auto found = m_runs.find(reported.run);
        if (found == m_runs.end()) {
            m_hasUnknownRuns = true;
            stopOrphan(reported.run);
            continue;
        }
        auto& tracker = found->second;
        tracker.hasRun = true;
        tracker.isListed = true;
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
    if (response.hasMoreEnds)
        return;
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
            logUnexpectedRun("run_missing", run, name());
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
        tracker.lossCause = tracker.lossCause.value_or(loss_cause::LeaseExpired);
        proposeEnd(tracker, batch::run_end_kind::Lost);
    }
}

void worker_session::reportCrash() { proposeCrash({}); }

void worker_session::proposeCrash(const std::set<batch::run_ref>& executedSince)
{
    auto crash = std::exchange(m_expiredRuns, {});
    crash.worker = m_worker;
    const auto isExecutedSince = [&](const batch::run_ref& run) { return executedSince.contains(run); };
    std::erase_if(crash.runs, isExecutedSince);
    std::erase_if(crash.unconfirmedRuns, isExecutedSince);
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

std::int64_t worker_session::recordedIncarnation() const
{
    const auto* const worker = record();
    return worker == nullptr ? 0 : worker->report.incarnation;
}

bool worker_session::endIncarnation(std::int64_t incarnation)
{
    // The request was sent to the address of an earlier incarnation; the current one may be elsewhere.
    if (incarnation != recordedIncarnation()) {
        logOutdatedMismatch(name(), incarnation, recordedIncarnation());
        return false;
    }
    m_incarnationEnded = true;
    reportCrash();
    logEvent(
        "worker_life_ended", { { "worker", name() }, { "reason", "other life at its address" } }, log_level::Warning);
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

} // namespace chervilport
