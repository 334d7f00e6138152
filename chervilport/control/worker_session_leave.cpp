#include "chervilport/control/session_log.h"
#include "chervilport/control/worker_session.h"
#include "chervilport/instance/monotonic_now.h"

#include <utility>

/// The end of a worker that leaves as planned: the last ends of its runs are read before its record is removed.

namespace chervilport {

namespace {

    /// Time that a report takes at most until it is recorded: a worker sends it again after a second without a
    /// response.
    constexpr std::chrono::milliseconds maxReportDelay { 1'000 };

} // namespace

bool worker_session::canHaveDrained(log_time now) const { return now + maxReportDelay >= m_earliestEnd; }

void worker_session::collectLastEnds(std::function<void(bool)> done)
{
    if (m_incarnationEnded || m_runs.empty()) {
        done(true);
        return;
    }
    if (m_closed || !m_host.mayExecute()) {
        // Another leader, or a later call, reads the ends.
        done(false);
        return;
    }
    // Neither the lease is renewed nor ends acknowledged: the worker ends, and the poll in flight may do so.
    poll_request request;
    request.fencingToken = fencingToken();
    m_host.client->poll(target(), request,
        [self = shared_from_this(), incarnation = m_incarnation, done = std::move(done)](
            const poll_response& response) { self->handleLastPoll(response, incarnation, done); });
}

void worker_session::handleLastPoll(
    const poll_response& response, std::int64_t incarnation, const std::function<void(bool)>& done)
{
    logLastList(name(), response);
    const bool isCurrent = !m_closed && !m_incarnationEnded && m_incarnation == incarnation;
    const bool isSame = response.incarnation == 0 || response.incarnation == incarnation;
    if (!isCurrent || !isSame) {
        done(true);
        return;
    }
    if (response.result.reply != worker_reply::Done) {
        // The worker may have answered the poll in flight before it ended.
        if (m_pollInFlight)
            m_awaitingPoll.push_back(done);
        else
            done(true);
        return;
    }
    reconcileEnds(response);
    if (!response.hasMoreEnds) {
        done(isComplete(response));
        return;
    }
    m_awaitingLastEnds.push_back(done);
    m_lastEndsSince = monotonicNow();
}

void worker_session::finishLastEnds(bool hasAllEnds)
{
    for (const auto& done : std::exchange(m_awaitingLastEnds, {}))
        done(hasAllEnds);
}

} // namespace chervilport
