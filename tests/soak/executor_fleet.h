#pragma once

#include "chervilport/core/repeating_timer.h"
#include "tests/soak/fake_executor.h"
#include "tests/soak/link_proxy.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chervilport {
class http_client;
}

namespace chervilport::soak {

class invariant_checker;
class soak_cluster;

/// All executors of the soak. Completes and aborts their gangs, sends their heartbeats, and owns the proxies in front
/// of them.
class executor_fleet {
public:
    /// Creates `count` executors, each behind a proxy. Call `start` to announce them.
    executor_fleet(
        asio::io_context&, soak_cluster&, invariant_checker&, http_client&, std::size_t count, std::uint64_t seed);

    /// Starts the heartbeats and the timer that advances the runs.
    void start();

    /// Returns the executor with the given number, from 0.
    fake_executor& at(std::size_t number) { return *m_members.at(number).executor; }

    /// Returns the number of executors.
    std::size_t size() const { return m_members.size(); }

    /// Returns the proxy in front of an executor.
    link_proxy& proxy(std::size_t number) { return *m_members.at(number).proxy; }

    /// Drains an executor: it announces that it leaves, stops after the drain time, and later rejoins under another id.
    /// Does nothing when the executor is already draining or down.
    void drain(std::size_t number);

private:
    /// An executor with its proxy and heartbeat state.
    struct member {
        std::unique_ptr<fake_executor> executor;
        std::unique_ptr<link_proxy> proxy;
        /// Destination of the next heartbeat; empty for a random control instance.
        std::string heartbeatAddress;
        std::chrono::steady_clock::time_point nextHeartbeat;
        /// Time at which it rejoins; valid while `hasLeft` is set.
        std::chrono::steady_clock::time_point rejoinsAt;
        bool hasLeft = false;
    };

    void tick();
    void updateGangs(std::chrono::steady_clock::time_point now);
    void sendHeartbeat(std::size_t number);
    void sendForeignHeartbeat();
    void sendLeave(std::size_t number);
    void leaveOrRejoin(std::size_t number, std::chrono::steady_clock::time_point now);

    soak_cluster& m_cluster;
    invariant_checker& m_checker;
    http_client& m_client;
    executor_bounds m_bounds;
    repeating_timer m_tick;
    std::mt19937_64 m_random;
    std::vector<member> m_members;
    std::chrono::steady_clock::time_point m_nextForeignHeartbeat;
};

} // namespace chervilport::soak
