#pragma once

#include "chervilport/routing/slot_share.h"

namespace chervilport {

/// Share of an instance in the slots of one executor.
struct held_slots {
    /// Slots granted.
    std::int32_t granted = 0;
    /// Slots in use by running requests.
    std::int32_t inUse = 0;
    /// End of the lease: time until which requests may be started.
    log_time expiresAt;
};

/// Slot shares of one instance.
struct slot_holder {
    /// Name of the instance.
    std::string instance;
    /// Incarnation of the instance.
    std::uint64_t incarnation = 0;
    /// Sequence number of the last report.
    std::uint64_t sequence = 0;
    /// Time of the last report.
    log_time reportedAt;
    /// Shares by executor.
    std::map<upstream_id, held_slots> slots;
};

/// Creates the next report. Grants for earlier reports are ignored from now on, so that the instance holds no more
/// slots than the report lists until a grant replies to it. The leader relies on this bound.
share_report makeReport(slot_holder&, const std::map<std::string, std::int32_t>& demand, log_time now);

/// Applies a grant. Returns false, without effect, if it does not reply to the last report.
bool applyGrant(slot_holder&, const share_grant&);

/// Returns the slots of an executor that the instance may use, including those in use; 0 after the end of the lease.
std::int32_t usableSlots(const slot_holder&, const upstream_id&, log_time now);

/// Acquires a slot. Returns false if none is free.
bool acquireSlot(slot_holder&, const upstream_id&, log_time now);

/// Releases a slot after the end of an attempt.
void releaseSlot(slot_holder&, const upstream_id&);

} // namespace chervilport
