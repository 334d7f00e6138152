#pragma once

#include "chervilport/http/http_message.h"
#include "chervilport/http/http_responder.h"
#include "standins/worker/standin_worker_options.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

namespace asio {
class io_context;
}

namespace chervilport {

class http_client;
class http_listener;

/// Simulated worker of the platform. Runs tasks under a lease, each for the `run_ms` of its payload, and reports them
/// in its announcements. Starts every task without checking its capacity, and keeps a record for checks.
class standin_worker : public std::enable_shared_from_this<standin_worker> {
public:
    /// Creates a worker that announces itself through the given client, which must outlive it.
    standin_worker(asio::io_context&, http_client&, standin_worker_options);
    ~standin_worker();

    /// Opens the listener on a free port of the loopback address and announces the worker.
    void start();

private:
    using task_key = std::tuple<std::uint64_t, int, int>;
    struct task {
        std::string state;
        std::uint64_t serial = 0;
    };
    struct timers;

    void handle(const http_request&, const http_responder&);
    /// Returns whether a batch is meant for this incarnation and later than all that have arrived.
    bool isNext(const nlohmann::json& batch, std::uint64_t epoch);
    void applyCommands(const nlohmann::json& batch, bool mayStart);
    void startTask(const nlohmann::json& item);
    void stopTask(const nlohmann::json& item);
    void endTask(const task_key&, std::uint64_t serial, const std::string& state);
    void announceChange();
    void announce();
    void applyAnnounceResponse(const std::string& body, std::chrono::steady_clock::time_point sentAt);
    void checkLease();
    std::string announcementBody();
    std::string recordBody() const;

    asio::io_context& m_context;
    http_client& m_client;
    standin_worker_options m_options;
    std::unique_ptr<timers> m_timers;
    std::unique_ptr<http_listener> m_listener;
    std::string m_address;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastBatch = 0;
    std::uint64_t m_serial = 0;
    std::uint64_t m_startedTasks = 0;
    std::size_t m_instanceIndex = 0;
    bool m_hasChanges = true;
    std::optional<std::uint64_t> m_unchangedSince;
    bool m_isAnnouncing = false;
    bool m_hasPendingAnnouncement = false;
    bool m_hasLease = false;
    std::chrono::steady_clock::time_point m_leaseEnd;
    std::chrono::milliseconds m_renewal { 1'000 };
    std::map<task_key, task> m_tasks;
    int m_maxTasks = 0;
};

} // namespace chervilport
