#pragma once

#include "http.h"
#include "record.h"
#include "run_board.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// What a stand-in executor is and how its tasks run.
struct worker_settings {
    std::string id;
    std::string ip;
    std::string zone;
    std::string rack;
    std::string kind = "a";
    std::string service;
    /// Addresses of the machines that serve control.
    std::vector<endpoint> control;
    std::int64_t milliCores = 64'000;
    std::int64_t memoryMb = 262'144;
    std::int64_t accelerators = 8;
    /// Time that a task works.
    std::chrono::milliseconds work { 300 };
    std::chrono::milliseconds heartbeat { 1'500 };
    std::chrono::milliseconds maxLease { 10'000 };
};

/// A stand-in executor that follows the users' pages: leases, fencing tokens, ends that are listed until they are
/// acknowledged, and heartbeats.
class worker {
public:
    worker(worker_settings, record&, run_board&);
    ~worker();

    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Stops to serve and to send heartbeats, and waits for the threads.
    void stop();

    /// Returns the address at which it serves.
    endpoint address() const { return m_server->address(); }

    /// Returns the number of starts of tasks of a job.
    std::size_t startsOf(const std::string& job) const;

    /// Returns the number of tasks that run.
    std::size_t running() const;

private:
    struct run_state {
        std::uint32_t run = 0;
        std::int64_t startedAtMs = 0;
        std::int64_t endsAtMs = 0;
        std::int64_t stopsAtMs = -1;
    };
    struct run_end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    std::int64_t clockMs() const;
    response serve(const request&);
    response startRun(const nlohmann::json&);
    response stopRun(const nlohmann::json&);
    response hold(std::unique_lock<std::mutex>&, const nlohmann::json&);
    response conflict(const char* reason) const;
    void extendLease(std::int64_t untilMs);
    std::int64_t percentOf(const run_state&) const;
    void endRun(const std::string& task, const std::string& how);
    void tick();
    void beat();

    worker_settings m_settings;
    record& m_record;
    run_board& m_board;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, run_state> m_runs;
    std::map<std::string, std::uint32_t> m_highestEnded;
    std::vector<run_end> m_ends;
    std::map<std::string, std::size_t> m_starts;
    std::atomic<bool> m_stopped = false;
    std::unique_ptr<http_server> m_server;
    std::thread m_ticker;
    std::thread m_heart;
};

} // namespace review
