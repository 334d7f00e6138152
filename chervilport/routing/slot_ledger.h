#pragma once

#include "chervilport/routing/slot_share.h"

#include <optional>
#include <set>

namespace chervilport {

/// An executor whose slots are divided.
struct ledger_executor {
    /// Which one.
    upstream_id id;
    /// Service that it offers.
    std::string service;
    /// Slots that it has; 0 while it takes no work.
    std::int32_t slots = 0;
};

/// What the leader knows of an instance.
struct ledger_instance {
    /// Life of the instance.
    std::uint64_t incarnation = 0;
    /// Number of its last report.
    std::uint64_t sequence = 0;
    /// When its last report was received.
    log_time lastReportAt;
    /// Its demand by service.
    std::map<std::string, std::int32_t> demand;
    /// Most slots that it can hold, by executor.
    std::map<upstream_id, std::int32_t> outstanding;
};

/// Slots that a lost life of an instance may still hold.
struct lost_shares {
    /// When they are free again.
    log_time freeAt;
    /// Slots by executor.
    std::map<upstream_id, std::int32_t> outstanding;
};

/// The leader's account of all shares of a domain. The sum of what is outstanding never exceeds an executor's slots.
struct slot_ledger {
    /// Times.
    slot_share_settings settings;
    /// Executors by id.
    std::map<upstream_id, ledger_executor> executors;
    /// Instances by name.
    std::map<std::string, ledger_instance> instances;
    /// Shares of instances that were lost or have restarted.
    std::vector<lost_shares> lost;
    /// Instances that may hold shares of an earlier leader and have not yet reported to this one.
    std::set<std::string> unreported;
    /// When the shares of an earlier leader have certainly ended.
    log_time predecessorSharesEndAt;
    /// Targets by executor and instance, as last divided.
    std::map<upstream_id, std::map<std::string, std::int32_t>> targets;
    /// Weights by service and instance that the targets follow.
    std::map<std::string, std::map<std::string, double>> weights;
    /// When the slots were last divided.
    std::optional<log_time> dividedAt;
};

/// Creates the account of a new leader. `instances` are all that an earlier leader may have granted shares to; nothing
/// beyond what they report is granted until each of them has reported or its shares have ended. Empty without an
/// earlier leader.
slot_ledger makeLedger(const slot_share_settings&, std::set<std::string> instances, log_time now);

/// Sets the executors that are present. One that is left out is divided no longer.
void setExecutors(slot_ledger&, const std::vector<ledger_executor>&);

/// Answers a report; nothing for a report that is older than the last one of the instance.
std::optional<share_grant> answerReport(slot_ledger&, const share_report&, log_time now);

/// Returns the most slots of an executor that can be in use.
std::int32_t outstandingSlots(const slot_ledger&, const upstream_id&);

} // namespace chervilport
