#pragma once

#include "review/driver-3/http_exchange.h"
#include "review/driver-3/tcp_socket.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace chervilport::review {

class record;
class run_ledger;

/// Properties of an executor.
struct executor_options {
    std::string id;
    std::string ip;
    std::string service;
    std::string zone;
    std::string rack;
    /// Its kind, the first label.
    std::string kind = "a";
    std::int64_t milliCores = 64'000;
    std::int64_t memoryMb = 262'144;
    std::int64_t accelerators = 8;
    std::chrono::milliseconds beat { 1'500 };
    std::chrono::milliseconds maxLease { 10'000 };
    std::chrono::milliseconds stopTime { 300 };
    /// Error of the time of day in its first life.
    std::chrono::milliseconds clockError { 0 };
    /// Returns for how long a task works, or nothing for one that lasts.
    std::function<std::optional<std::chrono::milliseconds>(const std::string& task)> workOf;
    /// Returns whether a task fails at the end of its work.
    std::function<bool(const std::string& task)> failsAt = [](const std::string&) { return false; };
    /// Returns the addresses that take heartbeats.
    std::function<std::vector<std::string>()> controlAddresses;
};

/// A stand-in for an executor that speaks what PROTOCOL.md says of running tasks and of heartbeats. Gangs, checkpoints
/// and pace are left out.
class executor {
public:
    executor(executor_options, record&, run_ledger&);
    ~executor();
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    /// Returns its address.
    std::string address() const { return m_address; }

    /// Returns its id.
    const std::string& id() const { return m_options.id; }

    /// Crashes: nothing runs any more, and nothing is sent or answered until the next life.
    void crash();

    /// Begins a life under the same id. `clockError` is added to the time of day that it sees.
    void restart(std::chrono::milliseconds clockError = std::chrono::milliseconds(0));

private:
    using clock = std::chrono::steady_clock;

    struct active_run {
        std::uint64_t run = 0;
        clock::time_point startedAt;
        std::optional<clock::time_point> endsAt;
        std::optional<clock::time_point> stopsAt;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    void begin(std::chrono::milliseconds clockError);
    void accept();
    void serve(const tcp_socket&, std::uint64_t life);
    std::optional<http_response> answer(const http_request&, std::uint64_t life);
    http_response startRun(const nlohmann::json&);
    http_response stopRun(const nlohmann::json&);
    http_response hold(std::unique_lock<std::mutex>&, const nlohmann::json&, std::uint64_t life);
    http_response reply(int status, nlohmann::json body) const;
    nlohmann::json lists() const;
    bool takeToken(const nlohmann::json&);
    void extendLease(std::int64_t untilMs);
    void acknowledge(std::uint64_t cursor);
    void endRun(const std::string& task, const std::string& how);
    std::int64_t clockMs() const;
    void work();
    void sendBeats();
    std::string describe();

    executor_options m_options;
    record& m_log;
    run_ledger& m_ledger;
    tcp_socket m_listener;
    std::string m_address;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    std::uint64_t m_life = 0;
    std::int64_t m_born = 0;
    clock::time_point m_bornAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, active_run> m_runs;
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::vector<listed_end> m_ends;

    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
    std::mutex m_connectionsMutex;
    std::vector<std::thread> m_connections;
};

} // namespace chervilport::review
