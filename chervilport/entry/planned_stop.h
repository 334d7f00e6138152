#pragma once

#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace chervilport {

/// The planned stop of an entry instance: it says that it is not ready, serves on until the balancer has seen that,
/// lets open connections finish, and ends before it is ended. All functions are called on one thread.
class planned_stop {
public:
    /// What the owner does at each stage.
    struct stages {
        /// Closes idle connections and calls the function once none is left.
        std::function<void(std::function<void()> closed)> closeConnections;
        /// Ends the process; called once.
        std::function<void()> end;
    };

    /// Takes the time between the request to stop and the forced end.
    planned_stop(asio::io_context&, std::chrono::milliseconds grace, stages);

    /// Begins the stop; further calls have no effect.
    void begin();

    /// Whether the stop has begun, so that the instance is not ready.
    bool hasBegun() const { return m_begun; }

private:
    void finish();

    std::chrono::milliseconds m_grace;
    stages m_stages;
    asio::steady_timer m_balancerTimer;
    asio::steady_timer m_endTimer;
    bool m_begun = false;
    bool m_ended = false;
};

} // namespace chervilport
