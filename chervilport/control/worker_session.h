#pragma once

#include "chervilport/batch/start_obstacle.h"
#include "chervilport/batch/worker_record.h"
#include "chervilport/control/end_acknowledgement.h"
#include "chervilport/control/run_tracker.h"
#include "chervilport/control/session_host.h"
#include "chervilport/control/worker_clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chervilport {

/// The leader's session with a worker: starts and stops runs, renews the lease, and proposes the ends that the worker
/// reports. It keeps itself alive while calls are in flight; after `close` it ignores their responses.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    /// Creates a session; `leaseEnd` is the local time by which leases granted by earlier leaders have expired.
    worker_session(session_host, batch::worker_number, log_time leaseEnd);
    ~worker_session();

    /// Adopts the active runs of this worker in the replicated state, and polls the worker.
    void open();

    /// Closes the session.
    void close();

    /// Starts a run whose assignment was just committed.
    void startRun(const batch::run_ref&);

    /// Stops a run; the stop request is retried until the worker confirms it.
    void stopRun(const batch::run_ref&, loss_cause = loss_cause::Stopped);

    /// Returns why the work of a run is lost that ends in this way, which is not `Done`.
    loss_cause lossCauseOf(const batch::run_ref&, batch::run_end_kind) const;

    /// Returns whether the worker has confirmed the start of a run in this term.
    bool hasStarted(const batch::run_ref&) const;

    /// Returns whether new runs may be placed: the worker has responded in this term and to the last poll, executes no
    /// run that the leader does not track, has listed all its ends, and the backoff after an unhealthy response is
    /// over.
    bool isUsable() const
    {
        return m_polled && m_failedPolls == 0 && !m_hasUnknownRuns && !m_hasMoreEnds && m_unhealthyUntil <= m_now;
    }

    /// Proposes to record a crash of the worker under the runs that it executed or may have executed, unless the worker
    /// was draining. Called when its incarnation has ended.
    void reportCrash();

    /// Records that the worker drains and when it leaves at the earliest, as it reported.
    void beginDrain(log_time earliestEnd) { m_earliestEnd = earliestEnd; }

    /// Returns whether the worker can have left by now, if it drains. A session that has not seen the begin of the
    /// drain does not know, and returns true.
    bool canHaveDrained(log_time now) const;

    /// Polls the worker, which says that it leaves, and proposes the ends that it lists. Of many ends it lists a part;
    /// then the polls of the session read the others. Calls `done` once all are proposed or the worker does not
    /// respond; with false when ends may be left that a later call can read.
    void collectLastEnds(std::function<void(bool)> done);

    /// Processes timeouts: retries requests without a response and ends runs whose lease has expired.
    void tick(log_time now);

private:
    /// What a poll was sent with.
    struct sent_poll {
        /// When it was sent.
        log_time at;
        /// Incarnation of the worker that was polled last, and the recorded one, Unix milliseconds.
        std::int64_t incarnation = 0;
        std::int64_t recordedIncarnation = 0;
        /// Number up to which it acknowledged ends.
        std::uint64_t acknowledgedEnd = 0;
        /// Its fencing token.
        std::uint64_t fencingToken = 0;
        /// Whether it grants a lease.
        bool grantsLease = false;
    };

    const batch::worker_record* record() const;
    std::string name() const;
    worker_target target() const;
    std::uint64_t fencingToken() const;
    bool mayAcknowledge() const;
    void beginEpoch();
    void poll();
    void completePoll(const poll_response&, const sent_poll&);
    void handlePoll(const poll_response&, const sent_poll&);
    void handleFailedPoll(const worker_result&, const sent_poll&);
    void recordResult(const worker_result&);
    void recordFailedPoll(const worker_result&);
    void handleLastPoll(const poll_response&, std::int64_t incarnation, const std::function<void(bool)>& done);
    void finishLastEnds(bool hasAllEnds);
    void recordCompleteness(const poll_response&);
    void settleEarlierStarts(log_time firstPollAt);
    void settleStarts(log_time sentAt);
    bool hasRestarted() const;
    void proposeCrash(const std::set<batch::run_ref>& executedSince);
    void beginIncarnation(std::int64_t incarnation);
    void reconcileEarlierIncarnation(const poll_response&);
    void reconcileEnds(const poll_response&);
    void reconcileRunning(const poll_response&);
    void reconcileMissing(const poll_response&, log_time sentAt);
    void endExpiredRuns();
    void sendStart(run_tracker&);
    void withholdStart(run_tracker&, const batch::worker_record&, batch::start_obstacle);
    void abandonStart(run_tracker&);
    void handleStart(const batch::run_ref&, const worker_result&, std::int64_t incarnation, std::uint64_t fencingToken);
    void retryOrAbandon(run_tracker&, const worker_result&);
    void sendStop(run_tracker&);
    void confirmStart(run_tracker&);
    void stopOrphan(const batch::run_ref&);
    void proposeEnd(run_tracker&, batch::run_end_kind);
    void handleUncommittedEnd(const batch::run_ref&, batch::run_end_kind, proposal_result);
    void afterProposal();
    std::int64_t recordedIncarnation() const;
    bool endIncarnation(std::int64_t incarnation);
    void resumeUnlessRemoved();

    session_host m_host;
    batch::worker_number m_worker;
    /// Epoch of the fencing token of new requests.
    std::uint64_t m_epoch = 0;
    worker_clock m_clock;
    /// Start time of the worker's current incarnation, Unix milliseconds.
    std::int64_t m_incarnation = 0;
    std::map<batch::run_ref, run_tracker> m_runs;
    /// Runs whose lease expired on the silent worker. They count when it turns out that the worker has crashed.
    batch::worker_crashed m_expiredRuns;
    log_time m_now;
    /// When the first poll of this session was sent.
    std::optional<log_time> m_firstPollAt;
    log_time m_nextPoll;
    log_time m_unhealthyUntil;
    /// Earliest end of a worker that drains.
    log_time m_earliestEnd;
    end_acknowledgement m_ends;
    /// Callers of `collectLastEnds` that wait for the response to the poll in flight, as the last poll got none.
    std::vector<std::function<void(bool)>> m_awaitingPoll;
    /// Callers of `collectLastEnds` that wait until the worker has listed all its ends.
    std::vector<std::function<void(bool)>> m_awaitingLastEnds;
    /// When the last of them began to wait. The response to an earlier poll can be older than the list that it saw.
    log_time m_lastEndsSince;
    int m_failedPolls = 0;
    int m_startsInFlight = 0;
    int m_pendingProposals = 0;
    bool m_polled = false;
    /// Whether the last poll listed runs that are not tracked. Their use of the worker is not accounted for.
    bool m_hasUnknownRuns = false;
    /// Whether the last poll listed a part of the worker's ends, so that runs that it did not list may have ended.
    bool m_hasMoreEnds = false;
    bool m_pollInFlight = false;
    bool m_pollAgain = false;
    bool m_closed = false;
    bool m_incarnationEnded = false;
};

} // namespace chervilport
