#pragma once

#include "standins/executor/executor_server.h"
#include "tests/soak/executor_faults.h"
#include "tests/soak/task_name.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chervilport::soak {

class invariant_checker;

/// Bounds that the settings of the soak name.
struct executor_bounds {
    std::chrono::milliseconds maxLease { 10'000 };
    std::chrono::milliseconds maxStopTime { 400 };
    std::chrono::milliseconds gangStartTimeout { 3'000 };
};

/// An executor that behaves as the users' pages say: it starts what it is told under a lease on its own clock, lists
/// what runs and what ended, and refuses what is out of date. It tells the ledger all that it sees.
class fake_executor {
public:
    /// A run of a task here.
    struct run_state {
        std::uint32_t run = 0;
        std::chrono::steady_clock::time_point startedAt;
        /// When it began to work; nothing while a gang is not complete.
        std::optional<std::chrono::steady_clock::time_point> workingSince;
        std::optional<std::chrono::steady_clock::time_point> stopAt;
    };

    /// Opens a listener on a free port of the loopback address.
    fake_executor(asio::io_context&, invariant_checker&, std::string baseId, std::uint64_t seed, executor_bounds);
    ~fake_executor();

    /// Moves on to the given time: leases, stops and ends.
    void tick(std::chrono::steady_clock::time_point now);

    /// Ends everything without a trace and begins a new life, under the same id or a new one.
    void beginIncarnation(bool sameId);

    /// Ends everything that runs without a trace.
    void crash();

    /// Returns what it says of itself.
    nlohmann::json describe(const std::string& address, const std::string& failureDomain, const std::string& rack);

    const std::string& id() const { return m_id; }
    std::uint16_t port() const { return m_server->port(); }

    /// Returns the run of a task here, or null.
    run_state* findRun(const task_name&);

    /// Ends a run here.
    void endRun(const task_name&, const std::string& how);

    /// Returns the tasks that run here.
    const std::map<task_name, run_state>& runs() const { return m_runs; }

    executor_faults faults;
    /// Whether it announces that it leaves.
    bool draining = false;
    std::chrono::steady_clock::time_point leavesAt;

    static constexpr std::int64_t milliCores = 16'000;
    static constexpr std::int64_t memoryMb = 65'536;
    static constexpr std::int64_t accelerators = 8;

private:
    using steady_time = std::chrono::steady_clock::time_point;

    /// A listed end.
    struct reported_end {
        std::uint64_t number = 0;
        task_name task;
        std::uint32_t run = 0;
        std::string how;
        /// Whether the lease has lapsed since.
        bool hasLeaseExpired = false;
    };
    /// A look that waits for an end.
    struct waiting_poll {
        executor_server::reply reply;
        steady_time until;
    };

    void handleRequest(const http_request&, const executor_server::reply&);
    http_response execute(const http_request&);
    http_response start(const nlohmann::json&);
    http_response stop(const nlohmann::json&);
    void acknowledge(std::uint64_t cursor);
    void extendLease(std::int64_t untilMs);
    bool acceptFencingToken(const nlohmann::json& body);
    std::int64_t clockMs() const;
    nlohmann::json pollBody() const;
    void respondToPolls(bool all);
    void checkCapacity(const task_name&);
    void expireLease();

    asio::io_context& m_context;
    invariant_checker& m_checker;
    std::string m_baseId;
    std::string m_id;
    std::mt19937_64 m_random;
    executor_bounds m_bounds;
    std::unique_ptr<executor_server> m_server;
    steady_time m_incarnationStart;
    std::int64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_idSuffix = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<task_name, run_state> m_runs;
    /// Highest run of each task that was stopped or ended in this life.
    std::map<task_name, std::uint32_t> m_highestEndedRuns;
    std::vector<reported_end> m_ends;
    std::vector<waiting_poll> m_waitingPolls;
};

} // namespace chervilport::soak
