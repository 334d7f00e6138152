#pragma once

#include "chervilport/routing/slot_share.h"

#include <optional>
#include <set>

namespace chervilport {

/// An executor whose slots are divided.
struct ledger_executor {
    /// Executor, in its present incarnation.
    upstream_id id;
    /// Service that it offers.
    std::string service;
    /// Slots of the executor; 0 while it accepts no new work.
    std::int32_t slots = 0;
};

/// State of an instance at the leader.
struct ledger_instance {
    /// Incarnation of the instance.
    std::uint64_t incarnation = 0;
    /// Sequence number of its last report.
    std::uint64_t sequence = 0;
    /// Time of receipt of its last report.
    log_time lastReportAt;
    /// Running and waiting requests by service, from its last report.
    std::map<std::string, std::int32_t> demand;
    /// Upper bound of the slots that it may hold or use, by executor.
    std::map<upstream_id, std::int32_t> outstanding;
};

/// Slots that an ended incarnation of an instance may still use.
struct lost_shares {
    /// Time from which the slots are free again.
    log_time freeAt;
    /// Slots by executor.
    std::map<upstream_id, std::int32_t> outstanding;
};

/// Accounting of all slot shares of a failure domain, kept by its leader. The sum of the outstanding slots of an
/// executor never exceeds its slots.
struct slot_ledger {
    /// Durations and bounds.
    slot_share_settings settings;
    /// Executors by id.
    std::map<upstream_id, ledger_executor> executors;
    /// Instances by name.
    std::map<std::string, ledger_instance> instances;
    /// Shares of the earlier incarnations of restarted instances.
    std::vector<lost_shares> lost;
    /// Instances that may hold shares from an earlier leader and have not reported to this leader yet.
    std::set<std::string> unreported;
    /// Time at which all shares from an earlier leader have certainly ended.
    log_time predecessorSharesEndAt;
    /// Slots by executor and instance, as of the last division; grants approach them.
    std::map<upstream_id, std::map<std::string, std::int32_t>> targets;
    /// Weights by service and instance that the targets are based on.
    std::map<std::string, std::map<std::string, double>> weights;
    /// Time of the last division; empty if a division is due.
    std::optional<log_time> dividedAt;
};

/// Creates the ledger of a new leader. `instances` are all instances that an earlier leader may have granted shares to;
/// empty without an earlier leader. Until each of them has reported or its shares have ended, an instance is granted at
/// most what it reports as held.
slot_ledger makeLedger(const slot_share_settings&, std::set<std::string> instances, log_time now);

/// Replaces the set of present executors. Slots of executors that are not listed are no longer granted.
void setExecutors(slot_ledger&, const std::vector<ledger_executor>&);

/// Processes a report and returns the grant. Returns nothing if the report is not newer than the last one of the
/// instance.
std::optional<share_grant> processReport(slot_ledger&, const share_report&, log_time now);

/// Returns an upper bound of the slots of an executor that may be in use or held by instances.
std::int32_t outstandingSlots(const slot_ledger&, const upstream_id&);

} // namespace chervilport
