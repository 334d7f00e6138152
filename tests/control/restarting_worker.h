#pragma once

#include "chervilport/control/worker_client.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace chervilport::control_tests {

/// A worker that starts again under its id, and the network before it: requests wait until they are delivered, in any
/// order and to whichever incarnation is there, and responses can be lost.
class restarting_worker {
public:
    /// Returns a client that calls this worker.
    worker_client client();

    /// Whether a start request whose sender has given up is also executed by a later incarnation than the one at the
    /// time.
    bool startsLateInNextIncarnation = false;

    /// Number of ends in a response at most.
    std::size_t maxListedEnds = 500;

    /// Called with each end that the worker discards because it was acknowledged.
    std::function<void(const reported_end&)> onDiscarded;

    /// Returns the number of requests on their way.
    std::size_t requestsOnTheirWay() const { return m_requests.size(); }

    /// Returns the runs that it executes.
    const std::vector<batch::run_ref>& running() const { return m_running; }

    /// Executes a request on its way, and lets its response arrive unless it is lost or the sender has given up.
    void deliver(std::size_t request, bool isResponseLost);

    /// Lets the sender of a request give up. The request stays on its way.
    void timeOut(std::size_t request);

    /// Ends the oldest run as done.
    void finishRun();

    /// Starts again: a new incarnation with no runs, no ends, and no fencing token seen.
    void restart();

private:
    struct pending_request {
        std::function<poll_response()> execute;
        std::function<void(poll_response)> done;
        bool isStart = false;
    };

    poll_response handleStart(const start_request&);
    poll_response handleStop(const stop_request&);
    poll_response handlePoll(const poll_request&);
    poll_response reply(worker_reply) const;
    bool acceptToken(std::uint64_t token);
    void endRun(const batch::run_ref&, batch::run_end_kind);

    std::deque<pending_request> m_requests;
    std::int64_t m_incarnation = 10;
    std::uint64_t m_fencingToken = 0;
    std::uint64_t m_lastEnd = 0;
    std::vector<batch::run_ref> m_running;
    std::vector<reported_end> m_ended;
    /// Highest run of each task that has ended or was stopped.
    std::map<batch::task_ref, std::uint32_t> m_lastEnded;
};

} // namespace chervilport::control_tests
