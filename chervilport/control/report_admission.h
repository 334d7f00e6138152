#pragma once

#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace chervilport {

/// Reports of workers that one member commits or relays at the same time, at most. After a recovery every worker
/// reports within a second, and the leader has to answer the other members between the reports.
inline constexpr std::size_t maxReportsInProgress = 64;

/// A report that waits until it may be committed or relayed.
struct waiting_report {
    /// Time after which its sender no longer waits for the response.
    log_time deadline;
    /// Commits or relays the report, whose end is reported to `endReport` with this number.
    std::function<void(std::uint64_t number)> start;
    /// Answers that the report was not taken up.
    std::function<void()> refuse;
};

/// Reports in progress, by number with their deadlines, and those that wait. A waiting report is refused at its
/// deadline and not before, so that its sender does not come back at once on a new connection.
struct report_admission {
    std::map<std::uint64_t, log_time> inProgress;
    std::deque<waiting_report> waiting;
    std::uint64_t lastNumber = 0;
    /// Reports that were refused because they waited until their deadline.
    std::uint64_t refused = 0;
};

/// Adds a report to those that wait.
void addReport(report_admission&, waiting_report);

/// Starts waiting reports, oldest first, up to the bound.
void startReports(report_admission&);

/// Ends a report in progress.
void endReport(report_admission&, std::uint64_t number);

/// Refuses the waiting reports whose deadline has passed. Reports in progress past their deadline no longer count, so
/// that one without an end takes no place for ever.
void removeExpiredReports(report_admission&, log_time now);

} // namespace chervilport
