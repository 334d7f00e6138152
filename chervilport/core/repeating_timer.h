#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace chervilport {

/// Calls a function repeatedly on an io_context that a single thread runs. The interval begins at the end of each call.
/// All functions must be called on that thread.
class repeating_timer {
public:
    /// Creates a stopped timer.
    repeating_timer(asio::io_context&, std::chrono::milliseconds interval);
    /// Stops the timer.
    ~repeating_timer();

    repeating_timer(const repeating_timer&) = delete;
    repeating_timer& operator=(const repeating_timer&) = delete;

    /// Starts the timer; the first call follows after one interval. The function may stop or destroy the timer.
    void start(std::function<void()>);

    /// Stops the timer. No call follows, not even one that is due.
    void stop();

private:
    struct schedule;

    std::shared_ptr<schedule> m_schedule;
};

} // namespace chervilport
