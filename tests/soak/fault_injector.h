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

/// Carries out a plan of faults, and starts processes again that have ended.
class fault_injector {
public:
    fault_injector(asio::io_context&, soak_cluster&, executor_fleet&, invariant_checker&);

    /// Begins with the plan.
    void start(const std::vector<planned_fault>&);

    /// Returns whether all faults are over and all processes run.
    bool isOver() const;

    /// Kills all core processes at once and starts them again.
    void killAllCores(std::chrono::milliseconds down);

    /// Returns the number of faults that were carried out.
    std::size_t count() const { return m_count; }

private:
    using steady_time = std::chrono::steady_clock::time_point;
    using action = std::function<void()>;

    /// What the injector has done to a process.
    struct process_state {
        /// A planned stop was asked for.
        bool isStopping = false;
        /// When it is started again; nothing while it runs.
        std::optional<steady_time> restartAt;
        std::chrono::milliseconds downTime { 0 };
        int pauses = 0;
        /// Its disk takes nothing; an instance that starts on such a disk ends.
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
    /// A disk that was lost counts as such until the control group had a calm time with it.
    bool m_hasLostDisk = false;
    steady_time m_coreStableSince;
};

} // namespace chervilport::soak
