#pragma once

#include "chervilport/routing/slot_share.h"

namespace chervilport {

/// Slots of one executor as an instance sees them.
struct held_slots {
    /// Slots granted.
    std::int32_t granted = 0;
    /// Requests running on them.
    std::int32_t inUse = 0;
    /// Time until which requests may be started.
    log_time expiresAt;
};

/// The shares of one instance.
struct slot_holder {
    /// Name of the instance.
    std::string instance;
    /// Life of the instance.
    std::uint64_t incarnation = 0;
    /// Number of the last report.
    std::uint64_t sequence = 0;
    /// When it was made.
    log_time reportedAt;
    /// Slots by executor.
    std::map<upstream_id, held_slots> slots;
};

/// Makes the next report. Answers to earlier ones are ignored from now on, so that the report binds the leader.
share_report makeReport(slot_holder&, const std::map<std::string, std::int32_t>& demand, log_time now);

/// Takes over a grant. Returns false, without effect, if it does not answer the last report.
bool applyGrant(slot_holder&, const share_grant&);

/// Returns the slots of an executor on which the instance may run requests, used and free, or 0 after the term.
std::int32_t usableSlots(const slot_holder&, const upstream_id&, log_time now);

/// Takes a slot. Returns false if none is free.
bool acquireSlot(slot_holder&, const upstream_id&, log_time now);

/// Gives a slot back after the end of an attempt.
void releaseSlot(slot_holder&, const upstream_id&);

} // namespace chervilport
