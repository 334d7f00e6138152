#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace chervilport {

/// Calls a function again and again on an io_context that a single thread runs. The pause begins at the end of each
/// call. All functions are called on that thread.
class repeating_timer {
public:
    /// Creates a timer that does not run.
    repeating_timer(asio::io_context&, std::chrono::milliseconds interval);
    /// Ends the calls.
    ~repeating_timer();

    repeating_timer(const repeating_timer&) = delete;
    repeating_timer& operator=(const repeating_timer&) = delete;

    /// Begins to call the function, for the first time after one interval. The function may stop or destroy the timer.
    void start(std::function<void()>);

    /// Ends the calls; none follows, not even one that is due.
    void stop();

private:
    struct schedule;

    std::shared_ptr<schedule> m_schedule;
};

} // namespace chervilport
