#pragma once

#include "chervilport/batch/worker_record.h"
#include "chervilport/control/run_tracker.h"
#include "chervilport/control/session_host.h"
#include "chervilport/control/worker_clock.h"

#include <map>
#include <memory>

namespace chervilport {

/// The leader's dealings with one life of a worker: starts and stops runs, renews the lease, and proposes the ends that
/// the worker lists. It keeps itself alive while calls are on their way; after `close` it does nothing more.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    /// Creates a session; `leaseEnd` is the local time by which leases of earlier leaders have ended.
    worker_session(session_host, batch::worker_number, log_time leaseEnd);
    ~worker_session();

    /// Takes over the active runs that the state has on this worker, and looks at it.
    void open();

    /// Ends the session.
    void close();

    /// Starts a run that was committed just now.
    void startRun(const batch::run_ref&);

    /// Stops a run.
    void stopRun(const batch::run_ref&);

    /// Returns whether the worker has confirmed the start of a run in this term.
    bool hasStarted(const batch::run_ref&) const;

    /// Returns whether runs may be started: the worker answered in this term, and lately when it was asked.
    bool isUsable() const { return m_polled && m_failedPolls == 0 && m_unhealthyUntil <= m_now; }

    /// Lets time pass: repeats what had no answer.
    void tick(log_time now);

private:
    const batch::worker_record* record() const;
    worker_target target() const;
    void poll();
    void handlePoll(const poll_response&, log_time sentAt);
    void handleFailedPoll(const worker_result&);
    void recordResult(const worker_result&);
    bool hasRestarted() const;
    void beginIncarnation(std::int64_t incarnation);
    void reconcileEarlierIncarnation(const poll_response&);
    void reconcileEnds(const poll_response&);
    void reconcileRunning(const poll_response&);
    void reconcileMissing(const poll_response&, log_time sentAt);
    void endExpiredRuns();
    void sendStart(run_tracker&);
    void handleStart(const batch::run_ref&, const worker_result&);
    void retryOrAbandon(run_tracker&, const worker_result&);
    void sendStop(run_tracker&);
    void confirm(run_tracker&);
    void stopOrphan(const batch::run_ref&);
    void proposeEnd(run_tracker&, batch::run_end_kind);
    void afterProposal();
    void endIncarnation(const char* reason);

    session_host m_host;
    batch::worker_number m_worker;
    worker_clock m_clock;
    /// Start of the life that looks and orders go to, Unix milliseconds.
    std::int64_t m_incarnation = 0;
    std::map<batch::run_ref, run_tracker> m_runs;
    log_time m_now;
    log_time m_nextPoll;
    log_time m_unhealthyUntil;
    std::uint64_t m_acknowledgedEnd = 0;
    std::uint64_t m_lastListedEnd = 0;
    int m_failedPolls = 0;
    int m_pendingProposals = 0;
    bool m_polled = false;
    bool m_pollInFlight = false;
    bool m_pollAgain = false;
    bool m_closed = false;
    bool m_incarnationEnded = false;
};

} // namespace chervilport
