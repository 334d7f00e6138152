#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervilport::soak {

/// Kinds of faults.
enum class fault_kind : std::uint8_t {
    KillCore,
    PauseCore,
    StopCore,
    WipeCore,
    KillAllCores,
    CutCore,
    CutCoreOneWay,
    FillDisk,
    KillEntry,
    PauseEntry,
    StopEntry,
    CutEntry,
    ResetLinks,
    SilenceLinks,
    SlowLinks,
    Reload,
    CrashExecutor,
    RestartExecutor,
    CutExecutor,
    LoseResponses,
    DelayRequests,
    FailRuns,
    DrainExecutor,
    Count,
};

/// Returns the name of a kind for the log.
std::string_view nameOf(fault_kind);

/// A fault at a moment of the soak.
struct planned_fault {
    fault_kind kind = fault_kind::KillCore;
    /// From the start of traffic.
    std::chrono::milliseconds at { 0 };
    /// Time until it is ended; how long the process is down, cut off or paused.
    std::chrono::milliseconds length { 0 };
    /// Chooses the party, modulo their number.
    std::size_t target = 0;
};

/// Returns faults in the order of their times, in series and overlapping. The same seed gives the same plan.
std::vector<planned_fault> makeFaultPlan(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace chervilport::soak
