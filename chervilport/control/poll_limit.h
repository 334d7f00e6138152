#pragma once

#include "chervilport/control/worker_client.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace chervilport {

/// Polls without a lease that are pending at the same time, at most. A leader that begins to lead opens a session with
/// every worker, and 3,000 connections at once keep it from its heartbeats until the group elects another leader.
inline constexpr std::size_t maxPendingPolls = 256;

/// Bounds how many polls without a lease are pending; further ones wait in order. Polls that renew a lease are sent at
/// once. All functions are called on the control thread.
class poll_limit : public std::enable_shared_from_this<poll_limit> {
public:
    /// Creates a limit of the polls that the client sends.
    poll_limit(worker_client, std::size_t maxPending);

    /// Returns a client whose polls are limited. It keeps the limit alive.
    worker_client client();

    /// Ends all waiting polls as not sent. Called when the sessions that they belong to have been closed.
    void discardWaiting();

    /// Returns the number of polls that wait.
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct waiting_poll {
        worker_target target;
        poll_request request;
        std::function<void(poll_response)> done;
    };

    void add(waiting_poll);
    void send(waiting_poll);
    void sendWaiting();

    worker_client m_client;
    std::size_t m_maxPending;
    std::size_t m_pending = 0;
    std::deque<waiting_poll> m_waiting;
};

} // namespace chervilport
