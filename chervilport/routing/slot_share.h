#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/routing/upstream_id.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilport {

/// Number of slots of one executor.
struct slot_share {
    /// Executor that the slots belong to.
    upstream_id executor;
    /// Number of slots.
    std::int32_t slots = 0;

    friend bool operator==(const slot_share&, const slot_share&) = default;
};

/// Report of an instance to the leader of the failure domain. Sent periodically, and more often while requests wait.
struct share_report {
    /// Name of the instance.
    std::string instance;
    /// Incarnation of the instance; increases with every restart.
    std::uint64_t incarnation = 0;
    /// Sequence number of the report; increases within an incarnation.
    std::uint64_t sequence = 0;
    /// Slots that the instance may still use or on which requests still run.
    std::vector<slot_share> held;
    /// Number of running and waiting requests by service.
    std::map<std::string, std::int32_t> demand;
};

/// Reply of the leader to a report.
struct share_grant {
    /// Sequence number of the report that it replies to.
    std::uint64_t sequence = 0;
    /// Time for which requests may be started on the slots, counted from the creation of the report.
    log_duration leaseDuration {};
    /// All slots that the instance may use; it has no slots of an executor that is not listed.
    std::vector<slot_share> shares;
};

/// Settings that must be equal at the leader and all instances of a failure domain.
struct slot_share_settings {
    /// Time for which a share may be used without a new grant; longer than a change of the leader takes (2.5 s).
    log_duration leaseDuration = std::chrono::seconds(10);
    /// Longest duration of an attempt at an executor. The slots of a lost instance are granted again only after its
    /// last attempt has certainly ended.
    log_duration maxAttemptDuration = std::chrono::seconds(30);
    /// Largest relative difference between the rates of two clocks.
    double maxClockDrift = 0.01;
    /// Fraction of the slots that is divided evenly regardless of demand, so that the first requests of an idle
    /// instance need not wait for a grant.
    double evenFraction = 0.2;
    /// Slots are not moved while no weight has changed by more than this ratio. A moved slot is unused from the report
    /// that returns it until the next report of its new holder.
    double weightTolerance = 0.15;
    /// Shortest time between two divisions of the slots.
    log_duration minDivisionInterval = std::chrono::milliseconds(200);
};

} // namespace chervilport
