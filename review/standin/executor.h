#pragma once

#include "review/standin/http.h"
#include "review/standin/record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// What an executor reports when a run begins or ends.
struct run_event {
    std::string executor;
    std::string task;
    int run = 0;
    /// `start`, or how the run ended.
    std::string what;
    steady_time at;
    /// Whether the end is taken note of, for ends.
    bool isAcknowledged = false;
};

/// Settings of an executor.
struct executor_options {
    std::string id;
    std::string ip;
    std::string service;
    std::string zone;
    std::string rack = "r1-1";
    std::int64_t cpu = 32'000;
    std::int64_t memoryMb = 131'072;
    std::int64_t gpu = 8;
    std::chrono::milliseconds maxLease { 10'000 };
    std::chrono::milliseconds stopTime { 100 };
    std::chrono::milliseconds heartbeat { 1'500 };
    std::chrono::milliseconds drain { 2'000 };
    /// Addresses of the nodes that serve heartbeats.
    std::vector<std::string> control;
};

/// An executor as the users' pages describe it: it runs tasks under a lease, lists runs and ends, and sends heartbeats.
/// The `spec` of a job is the work of each of its tasks in milliseconds, or `lasting`.
class executor {
public:
    executor(executor_options, record&);
    ~executor();

    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    /// Begins to send heartbeats.
    void start();

    /// Sends a heartbeat at once to the given node; returns the status.
    int sendHeartbeat(const std::string& node);

    /// Reports `draining` from now on, at once and in later heartbeats; returns whether a node acknowledged it.
    bool drain();

    /// Tells the nodes in this order that it leaves, each for a second, until one acknowledges; returns whether one
    /// did.
    bool leave(const std::vector<std::string>& nodes);

    /// Ends and starts again under its id and address: it holds and knows nothing of before.
    void restart();

    /// Returns all starts and ends so far.
    std::vector<run_event> events() const;

    /// Lets a run of a task end by itself, such as `failed`; returns whether there was one.
    bool endTask(const std::string& task, const std::string& how);

    /// Returns whether a run of the task is at work.
    bool isRunning(const std::string& task) const;

    /// Returns the number of runs at work.
    std::size_t runningCount() const;

    const std::string& address() const { return m_listener->address(); }
    const std::string& id() const { return m_options.id; }
    std::int64_t born() const { return m_born; }
    const executor_options& options() const { return m_options; }

private:
    /// A task and the number of its run.
    using run_key = std::pair<std::string, int>;
    struct run_state {
        steady_time startedAt;
        /// Work; nothing for a lasting task.
        std::optional<std::chrono::milliseconds> work;
        /// When a requested stop completes.
        std::optional<steady_time> stopAt;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::size_t event = 0;
    };

    std::optional<http_response> handle(const http_request&);
    http_response execute(const http_request&, std::unique_lock<std::mutex>&);
    http_response begin(const nlohmann::json&);
    http_response stop(const nlohmann::json&);
    http_response hold(const nlohmann::json&, std::unique_lock<std::mutex>&);
    http_response answer(int status, nlohmann::json) const;
    std::int64_t clockMs() const;
    void extendLease(std::int64_t untilMs);
    void end(const run_key&, const std::string& how);
    static int percentOf(const run_state&);
    void tick();
    bool beat();
    nlohmann::json describe();

    executor_options m_options;
    record& m_record;
    std::int64_t m_born;
    steady_time m_begin;
    mutable std::mutex m_mutex;
    /// Held while a heartbeat is sent. Locked before `m_mutex`.
    std::mutex m_beatMutex;
    std::condition_variable m_changed;
    std::map<run_key, run_state> m_running;
    std::map<std::string, int> m_highestEnded;
    std::vector<listed_end> m_ends;
    std::vector<run_event> m_events;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    bool m_isDraining = false;
    bool m_hasLeft = false;
    std::atomic<bool> m_isStopped = false;
    std::string m_heartbeatUrl;
    std::size_t m_nextNode = 0;
    std::unique_ptr<http_listener> m_listener;
    std::thread m_ticker;
    std::thread m_beater;
};

} // namespace review
