#pragma once

#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace chervilport {

/// Times of a graceful shutdown.
struct shutdown_times {
    /// Time between the stop signal and the forced kill.
    std::chrono::milliseconds grace { 0 };
    /// Time for which calls are still accepted after the shutdown has begun; shortened when the grace period is short.
    std::chrono::milliseconds drainDelay { 0 };
    /// Idle timeout of open connections after the drain delay.
    std::chrono::milliseconds idle { 0 };
    /// Time before the forced kill at which the process exits at the latest.
    std::chrono::milliseconds endMargin { 0 };
};

/// Returns the times of an entry instance, which serves until its load balancer has seen that it is not ready.
shutdown_times entryShutdownTimes(std::chrono::milliseconds grace);

/// Returns the times of an instance of the control group. Its clients switch to another member at once, so it needs no
/// drain delay.
shutdown_times controlShutdownTimes(std::chrono::milliseconds grace);

/// The graceful shutdown of an instance: it hands over its duties, serves during the drain delay, lets open connections
/// finish, and exits before it is killed. All functions are called on one thread.
class graceful_shutdown {
public:
    /// Actions of the owner at each stage.
    struct stages {
        /// Hands over duties to other instances, such as leadership, and calls `done` when that has completed.
        std::function<void(std::function<void()> done)> handOver;
        /// Closes connections that are idle for `idle`, and calls `closed` when none is left.
        std::function<void(std::chrono::milliseconds idle, std::function<void()> closed)> closeConnections;
        /// Ends the process; called once.
        std::function<void()> end;
    };

    /// Creates a shutdown that has not begun.
    graceful_shutdown(asio::io_context&, const shutdown_times&, stages);

    /// Begins the shutdown; further calls have no effect.
    void begin();

    /// Returns whether the shutdown has begun, so that the instance is not ready.
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
