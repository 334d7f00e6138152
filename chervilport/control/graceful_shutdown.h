#pragma once

#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace chervilport {

/// Times of a planned stop.
struct shutdown_times {
    /// Time between the request to stop and the forced end.
    std::chrono::milliseconds grace { 0 };
    /// Time for which calls are still taken after the stop has begun; with little grace it is shorter.
    std::chrono::milliseconds drainDelay { 0 };
    /// Time for which open connections may stay idle after that.
    std::chrono::milliseconds idle { 0 };
    /// Time before the forced end at which the process ends by itself.
    std::chrono::milliseconds endMargin { 0 };
};

/// Returns the times of an entry instance, which serves until its balancer has seen that it is not ready.
shutdown_times entryShutdownTimes(std::chrono::milliseconds grace);

/// Returns the times of an instance of the control group, whose callers go to another member at once.
shutdown_times controlShutdownTimes(std::chrono::milliseconds grace);

/// The planned stop of an instance: it hands over what it leads, serves on for a while, lets open connections finish,
/// and ends before it is ended. All functions are called on one thread.
class graceful_shutdown {
public:
    /// What the owner does at each stage.
    struct stages {
        /// Hands over what other instances can do, and calls the function when that is settled.
        std::function<void(std::function<void()> done)> handOver;
        /// Closes connections that stay idle for the time, and calls the function once none is left.
        std::function<void(std::chrono::milliseconds idle, std::function<void()> closed)> closeConnections;
        /// Ends the process; called once.
        std::function<void()> end;
    };

    /// Creates a stop that has not begun.
    graceful_shutdown(asio::io_context&, const shutdown_times&, stages);

    /// Begins the stop; further calls have no effect.
    void begin();

    /// Whether the stop has begun, so that the instance is not ready.
    bool hasBegun() const { return m_begun; }

private:
    void startDrainDelay();
    void close();
    void finish();

    shutdown_times m_times;
    stages m_stages;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_endTimer;
    bool m_begun = false;
    bool m_ended = false;
};

} // namespace chervilport
