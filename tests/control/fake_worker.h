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
    worker_port port();

    asio::io_context& context;
    std::int64_t clockMs = 100'000;
    /// Replies to the next orders to start; Done when empty.
    std::deque<worker_reply> startReplies;
    /// Replies to the next orders to stop; Done when empty.
    std::deque<worker_reply> stopReplies;
    /// Replies to the next looks; Done when empty.
    std::deque<worker_reply> lookReplies;
    /// What looks show.
    std::vector<running_row> running;
    std::vector<ended_row> ended;
    std::int64_t born = 0;
    /// Whether looks that wait are held back until released.
    bool holdLooks = true;
    std::function<void()> heldLook;
    /// Whether orders to stop are held back until released.
    bool holdStops = false;
    std::function<void()> heldStop;
    /// Orders received.
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<look_order> looks;
};

} // namespace chervilport::control_tests
