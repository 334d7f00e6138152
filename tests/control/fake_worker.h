#pragma once

#include "chervilport/control/worker_client.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace chervilport::control_tests {

/// A worker with scripted replies. Requests are answered when the io_context runs.
struct fake_worker {
    /// Creates a worker whose clock is fixed at `clockMs`.
    explicit fake_worker(asio::io_context&);

    /// Returns a client that calls this worker.
    worker_client client();

    /// Discards the ends up to this number.
    void discardEnds(std::uint64_t acknowledged);

    asio::io_context& context;
    std::int64_t clockMs = 100'000;
    /// Replies to the next start requests; Done when empty.
    std::deque<worker_reply> startReplies;
    /// Replies to the next stop requests; Done when empty.
    std::deque<worker_reply> stopReplies;
    /// Replies to the next polls; Done when empty.
    std::deque<worker_reply> pollReplies;
    /// Runs and ends in the responses to polls. Acknowledged ends are discarded.
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// Number of ends in a response at most.
    std::size_t maxListedEnds = 500;
    /// Whether responses to polls have rows that cannot be read.
    bool hasUnreadableRows = false;
    std::int64_t incarnation = 0;
    /// Whether responses to polls with a wait time are held until `heldPoll` is called.
    bool holdPolls = true;
    std::function<void()> heldPoll;
    /// Reply to the held poll in place of the scripted one.
    std::optional<worker_reply> heldPollReply;
    /// Whether responses to start requests are held until `heldStart` is called.
    bool holdStarts = false;
    std::function<void()> heldStart;
    /// Whether responses to stop requests are held until `heldStop` is called.
    bool holdStops = false;
    std::function<void()> heldStop;
    /// Requests received.
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<poll_request> polls;
};

} // namespace chervilport::control_tests
