#include "chervilport/requests/share_exchange.h"

#include <utility>

namespace chervilport {

share_exchange::share_exchange(const slot_share_settings& settings, routing_state& routing, share_exchange_ports ports)
    : m_settings(settings)
    , m_routing(routing)
    , m_ports(std::move(ports))
{
}

void share_exchange::poll()
{
    const auto now = m_ports.now();
    const auto period = m_ports.isWaiting() ? urgentReportPeriod : reportPeriod;
    if (!m_lastReport || now >= *m_lastReport + period)
        report(now);
}

void share_exchange::report(log_time now)
{
    m_lastReport = now;
    const auto made = makeReport(m_routing.slots, m_ports.demand(), now);
    m_ports.sendReport(made, [weak = weak_from_this()](const std::optional<share_grant>& grant) {
        const auto self = weak.lock();
        if (self && grant && applyGrant(self->m_routing.slots, *grant))
            self->m_ports.granted();
    });
}

void share_exchange::becomeLeader(std::set<std::string> instances)
{
    m_ledger = makeLedger(m_settings, std::move(instances), m_ports.now());
}

std::optional<share_grant> share_exchange::answer(const share_report& received)
{
    if (!m_ledger)
        return std::nullopt;
    const auto now = m_ports.now();
    std::vector<ledger_executor> executors;
    for (const auto& [address, entry] : m_routing.registry.entries) {
        const auto& announcement = entry.announcement;
        if (announcement.kind == upstream_kind::Executor && takesWork(m_routing.registry, entry, now))
            executors.push_back({ announcement.id, announcement.service, announcement.slots });
    }
    setExecutors(*m_ledger, executors);
    return answerReport(*m_ledger, received, now);
}

} // namespace chervilport
