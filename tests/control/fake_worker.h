#pragma once

#include "chervilport/control/worker_client.h"

#include <asio/io_context.hpp>
#include <deque>
#include <functional>
#include <vector>

namespace chervilport::control_tests {

/// A worker that answers as told. Orders are answered when the io_context runs.
struct fake_worker {
    /// Creates a worker whose clock stands at `clockMs`.
    explicit fake_worker(asio::io_context&);

    /// Returns the calls to it.
    worker_client client();

    asio::io_context& context;
    std::int64_t clockMs = 100'000;
    /// Replies to the next orders to start; Done when empty.
    std::deque<worker_reply> startReplies;
    /// Replies to the next orders to stop; Done when empty.
    std::deque<worker_reply> stopReplies;
    /// Replies to the next looks; Done when empty.
    std::deque<worker_reply> pollReplies;
    /// What looks show.
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    std::int64_t incarnation = 0;
    /// Whether looks that wait are held back until released.
    bool holdPolls = true;
    std::function<void()> heldPoll;
    /// Whether orders to stop are held back until released.
    bool holdStops = false;
    std::function<void()> heldStop;
    /// Orders received.
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<poll_request> polls;
};

} // namespace chervilport::control_tests
