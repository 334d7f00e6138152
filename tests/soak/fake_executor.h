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

/// Bounds of an executor; equal to those in the settings that soak_cluster writes.
struct executor_bounds {
    std::chrono::milliseconds maxLease { 10'000 };
    std::chrono::milliseconds maxStopTime { 400 };
    std::chrono::milliseconds gangStartTimeout { 3'000 };
};

/// An executor that implements the documented worker protocol. It runs tasks under a lease on its own clock, lists
/// running and ended runs, and refuses outdated requests. It records all starts and ends in the invariant checker.
class fake_executor {
public:
    /// A run of a task on this executor.
    struct run_state {
        /// Number of the run, from 1.
        std::uint32_t run = 0;
        /// Time of the start request.
        std::chrono::steady_clock::time_point startedAt;
        /// Time at which it began to work; nothing while its gang is incomplete.
        std::optional<std::chrono::steady_clock::time_point> workingSince;
        /// Time at which a requested stop completes; nothing without a stop request.
        std::optional<std::chrono::steady_clock::time_point> stopAt;
    };

    /// Opens a listener on a free port of the loopback address.
    fake_executor(asio::io_context&, invariant_checker&, std::string baseId, std::uint64_t seed, executor_bounds);
    ~fake_executor();

    /// Ends all runs as lapsed once the lease has expired.
    void expireOverdueLease();

    /// Applies stops and ends that are due at the given time, and responds to polls. The members of a gang end as done
    /// together, so the owner ends those.
    void tick(std::chrono::steady_clock::time_point now);

    /// Crashes and begins a new incarnation, under the same id or a new one.
    void beginIncarnation(bool keepsId);

    /// Drops all runs, reported ends and waiting polls, as a crash does.
    void crash();

    /// Returns the body of a heartbeat.
    nlohmann::json describe(const std::string& address, const std::string& failureDomain, const std::string& rack);

    /// Returns the id of the executor: the base id and a suffix.
    const std::string& id() const { return m_id; }
    /// Returns the port of the listener.
    std::uint16_t port() const { return m_server->port(); }

    /// Returns the run of a task on this executor, or null.
    run_state* findRun(const task_name&);

    /// Ends the run of a task and lists the end. `kind` is the kind of end on the wire, such as `done` or `failed`.
    void endRun(const task_name&, const std::string& kind);

    /// Returns the runs on this executor by task.
    const std::map<task_name, run_state>& runs() const { return m_runs; }

    /// Active faults.
    executor_faults faults;
    /// Whether it announces that it is draining.
    bool isDraining = false;
    /// Time at which the drain ends and it leaves.
    std::chrono::steady_clock::time_point leavesAt;

    /// Id of a worker of a service that the configuration does not contain, announced at the address of an executor.
    static constexpr const char* foreignId = "foreign-1";

    /// Capacity in thousandths of a core.
    static constexpr std::int64_t milliCores = 16'000;
    /// Capacity of memory in MB.
    static constexpr std::int64_t memoryMb = 65'536;
    /// Number of accelerators.
    static constexpr std::int64_t accelerators = 8;

private:
    using steady_time = std::chrono::steady_clock::time_point;

    /// An end that is listed until it is acknowledged.
    struct reported_end {
        std::uint64_t number = 0;
        task_name task;
        std::uint32_t run = 0;
        std::string kind;
        /// Whether the lease has expired since the end.
        bool hasLeaseExpired = false;
    };
    /// A long poll that waits for the end of a run, at most until `until`.
    struct waiting_poll {
        executor_server::responder reply;
        steady_time until;
    };

    void handleRequest(const http_request&, const executor_server::responder&);
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

    asio::io_context& m_context;
    invariant_checker& m_checker;
    std::string m_baseId;
    std::string m_id;
    std::mt19937_64 m_random;
    executor_bounds m_bounds;
    std::unique_ptr<executor_server> m_server;
    steady_time m_incarnationStart;
    /// Reading of the clock at the start of the incarnation.
    std::chrono::milliseconds m_clockStart { 0 };
    /// Number of incarnations so far.
    int m_incarnations = 0;
    std::int64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_idSuffix = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<task_name, run_state> m_runs;
    /// Highest run of each task that was stopped or ended in this incarnation.
    std::map<task_name, std::uint32_t> m_highestEndedRuns;
    std::vector<reported_end> m_ends;
    std::vector<waiting_poll> m_waitingPolls;
};

} // namespace chervilport::soak
