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

/// All executors of the soak: their gangs, their heartbeats, and the proxies before them.
class executor_fleet {
public:
    /// Creates as many executors as asked for.
    executor_fleet(
        asio::io_context&, soak_cluster&, invariant_checker&, http_client&, std::size_t count, std::uint64_t seed);

    /// Begins to announce them and to move their time on.
    void start();

    /// Returns an executor.
    fake_executor& at(std::size_t number) { return *m_members.at(number).executor; }

    std::size_t size() const { return m_members.size(); }

    /// Returns the proxy before an executor.
    link_proxy& proxy(std::size_t number) { return *m_members.at(number).proxy; }

    /// Announces that an executor leaves; it ends later and comes back under another id.
    void drain(std::size_t number);

private:
    /// An executor and what belongs to it.
    struct member {
        std::unique_ptr<fake_executor> executor;
        std::unique_ptr<link_proxy> proxy;
        /// Where the next heartbeat goes; empty for a member of the control group drawn by lot.
        std::string heartbeatAddress;
        std::chrono::steady_clock::time_point nextHeartbeat;
        /// When it left for good; it comes back soon after.
        std::chrono::steady_clock::time_point rejoinsAt;
        bool hasLeft = false;
    };

    void tick();
    void updateGangs(std::chrono::steady_clock::time_point now);
    void sendHeartbeat(std::size_t number);
    void sendLeave(std::size_t number);
    void leaveOrRejoin(std::size_t number, std::chrono::steady_clock::time_point now);

    soak_cluster& m_cluster;
    invariant_checker& m_checker;
    http_client& m_client;
    executor_bounds m_bounds;
    repeating_timer m_tick;
    std::mt19937_64 m_random;
    std::vector<member> m_members;
};

} // namespace chervilport::soak
