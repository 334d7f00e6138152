#pragma once

#include "chervilport/core/repeating_timer.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak/node_id.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace chervilport::soak {

class executor_fleet;
class invariant_checker;
class soak_cluster;

/// Applies a plan of faults and restarts processes that exited. Reports exits that no fault explains.
class fault_injector {
public:
    /// Creates an injector without a plan.
    fault_injector(asio::io_context&, soak_cluster&, executor_fleet&, invariant_checker&);

    /// Schedules the faults of the plan, relative to the time of the call.
    void start(const std::vector<planned_fault>&);

    /// Returns whether all faults are over and all processes run.
    bool isOver() const;

    /// Kills all core processes at once and restarts them after the given time.
    void killAllCores(std::chrono::milliseconds down);

    /// Returns the number of faults that were applied.
    std::size_t count() const { return m_count; }

private:
    using steady_time = std::chrono::steady_clock::time_point;
    using action = std::function<void()>;

    /// Active faults of a process.
    struct process_state {
        /// A graceful shutdown was requested.
        bool isStopping = false;
        /// Time of the restart; nothing while it runs.
        std::optional<steady_time> restartAt;
        /// Time between the exit and the restart.
        std::chrono::milliseconds downTime { 0 };
        /// Pauses that have not ended.
        int pauses = 0;
        /// Its disk is full. An instance that starts on a full disk exits.
        bool isDiskFull = false;
    };

    void apply(const planned_fault&);
    void applyToCore(const planned_fault&, node_id);
    void applyToEntry(const planned_fault&, node_id);
    void applyToLinks(const planned_fault&);
    void applyToExecutor(const planned_fault&);
    void kill(node_id, std::chrono::milliseconds down);
    void pause(node_id, std::chrono::milliseconds);
    void stop(node_id, std::chrono::milliseconds down);
    void wipeDisk(node_id, std::chrono::milliseconds down);
    void fillDisk(node_id, std::chrono::milliseconds);
    void cutFromCores(node_id, std::chrono::milliseconds, bool isBidirectional);
    void cutExecutor(std::size_t number, std::chrono::milliseconds);
    void activate(int& counter, std::chrono::milliseconds);
    void runAfter(std::chrono::milliseconds, action);
    void tick();
    void recordCoreDisruption(std::chrono::milliseconds);

    asio::io_context& m_context;
    soak_cluster& m_cluster;
    executor_fleet& m_fleet;
    invariant_checker& m_checker;
    repeating_timer m_tick;
    std::map<node_id, process_state> m_processes;
    std::size_t m_pending = 0;
    std::size_t m_count = 0;
    /// Set when a disk is wiped, until the core instances have run without faults for the catch-up time.
    bool m_hasLostDisk = false;
    /// End of the last fault that disturbs core instances; may lie in the future.
    steady_time m_coreStableSince;
};

} // namespace chervilport::soak
