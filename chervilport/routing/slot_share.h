#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/routing/upstream_id.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilport {

/// Slots of one executor.
struct slot_share {
    /// Which executor.
    upstream_id executor;
    /// How many slots.
    std::int32_t slots = 0;

    friend bool operator==(const slot_share&, const slot_share&) = default;
};

/// What an instance tells the leader of the domain. Sent regularly, and at once when requests begin to wait.
struct share_report {
    /// Name of the instance.
    std::string instance;
    /// Life of the instance; a later one is larger.
    std::uint64_t incarnation = 0;
    /// Number of the report; a later one is larger.
    std::uint64_t sequence = 0;
    /// Slots that the instance may still use, or whose requests still run.
    std::vector<slot_share> held;
    /// Requests running and waiting, by service.
    std::map<std::string, std::int32_t> demand;
};

/// The leader's answer to a report.
struct share_grant {
    /// Number of the report that it answers.
    std::uint64_t sequence = 0;
    /// Time for which requests may be started on the slots, counted from the sending of the report.
    log_duration leaseDuration {};
    /// All slots that the instance may use; an executor that is not listed has none for it.
    std::vector<slot_share> shares;
};

/// Times that the leader and all instances of a domain must agree on.
struct slot_share_settings {
    /// Time for which a share may be used without another grant; longer than a change of the leader takes (2.5 s).
    log_duration leaseDuration = std::chrono::seconds(10);
    /// Longest time that an attempt at an executor takes. The slots of a lost instance are granted again only when its
    /// last attempt is over.
    log_duration maxAttemptDuration = std::chrono::seconds(30);
    /// Largest difference between the rates of two clocks.
    double maxClockDrift = 0.01;
    /// Part of the slots that is divided evenly whatever the demand, so that the first requests of an idle instance
    /// need not wait for a grant.
    double evenFraction = 0.2;
    /// Largest relative change of the weights of all instances that does not move slots. A slot that moves is unused
    /// from the report that returns it to the next report of its new holder.
    double weightTolerance = 0.15;
    /// Shortest time between two divisions of the slots.
    log_duration minDivisionInterval = std::chrono::milliseconds(200);
};

} // namespace chervilport
