#include "chervilport/control/report_admission.h"

#include <utility>

namespace chervilport {

void addReport(report_admission& reports, waiting_report report) { reports.waiting.push_back(std::move(report)); }

void startReports(report_admission& reports)
{
    while (!reports.waiting.empty() && reports.inProgress.size() < maxReportsInProgress) {
        const auto next = std::move(reports.waiting.front());
        reports.waiting.pop_front();
        const auto number = ++reports.lastNumber;
        reports.inProgress.emplace(number, next.deadline);
        next.start(number);
    }
}

void endReport(report_admission& reports, std::uint64_t number) { reports.inProgress.erase(number); }

void removeExpiredReports(report_admission& reports, log_time now)
{
    std::erase_if(reports.inProgress, [now](const auto& entry) { return entry.second <= now; });
    while (!reports.waiting.empty() && reports.waiting.front().deadline <= now) {
        const auto expired = std::move(reports.waiting.front());
        reports.waiting.pop_front();
        ++reports.refused;
        expired.refuse();
    }
}

} // namespace chervilport
