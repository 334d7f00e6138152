#pragma once

#include "chervilport/requests/routing_state.h"
#include "chervilport/routing/slot_ledger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chervilport {

/// What the exchange of slot shares needs from its surroundings. All functions are called on the io thread.
struct share_exchange_ports {
    /// Returns the local monotonic time.
    std::function<log_time()> now;
    /// Returns the requests running and waiting, by service; see request_pipeline::demand().
    std::function<std::map<std::string, std::int32_t>()> demand;
    /// Returns whether requests wait for a slot.
    std::function<bool()> isWaiting;
    /// Sends a report to the leader of the domain, which may be this instance; calls back once on the io thread, with
    /// nothing if there is no answer.
    std::function<void(const share_report&, std::function<void(std::optional<share_grant>)>)> sendReport;
    /// Called after a grant was applied; see request_pipeline::poll().
    std::function<void()> granted;
};

/// Keeps the shares of an instance up to date by reports to the leader, and divides the slots while this instance is
/// the leader.
class share_exchange : public std::enable_shared_from_this<share_exchange> {
public:
    /// Time between two reports while nothing waits.
    static constexpr log_duration reportPeriod = std::chrono::milliseconds(500);
    /// Time between two reports while requests wait.
    static constexpr log_duration urgentReportPeriod = std::chrono::milliseconds(50);

    /// Creates an exchange for an instance that does not lead. The routing state must outlive it.
    share_exchange(const slot_share_settings&, routing_state&, share_exchange_ports);

    /// Sends a report if one is due. To be called at least every 50 ms.
    void poll();

    /// Begins to answer reports. `instances` are all that an earlier leader may have granted shares to; empty only if
    /// the domain never had a leader.
    void becomeLeader(std::set<std::string> instances);

    /// Ends to answer reports.
    void resign() { m_ledger.reset(); }

    /// Answers a report as the leader; nothing if this instance does not lead or the report is an old one.
    std::optional<share_grant> answer(const share_report&);

private:
    void report(log_time now);

    slot_share_settings m_settings;
    routing_state& m_routing;
    share_exchange_ports m_ports;
    std::optional<slot_ledger> m_ledger;
    std::optional<log_time> m_lastReport;
};

} // namespace chervilport
