#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervilport::soak {

/// Kinds of faults. `Core` is an instance with the control role, `Entry` one with the entry role.
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

/// Returns the name of a kind in the log.
std::string_view nameOf(fault_kind);

/// A fault and its time.
struct planned_fault {
    /// Kind of the fault.
    fault_kind kind = fault_kind::KillCore;
    /// Time from the start of traffic.
    std::chrono::milliseconds at { 0 };
    /// Duration of the fault, such as the time for which a process is down, cut off or paused.
    std::chrono::milliseconds length { 0 };
    /// Selects the affected node, modulo the number of nodes.
    std::size_t target = 0;
};

/// Returns faults sorted by time. Faults come alone or in series of one kind, and can overlap. The same seed gives the
/// same plan.
std::vector<planned_fault> makeFaultPlan(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace chervilport::soak
