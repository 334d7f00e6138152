#include "chervilport/control/election_watch.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::chrono::milliseconds absenceReportInterval { 1'000 };

} // namespace

void recordTick(election_watch& watch, log_time now, log_duration interval, bool hasLeader)
{
    if (hasLeader || watch.leaderSeenAt == log_time {})
        watch.leaderSeenAt = now;
    if (watch.tickedAt != log_time {})
        watch.longestLag = std::max(watch.longestLag, now - watch.tickedAt - interval);
    watch.tickedAt = now;
}

bool takeAbsenceReport(election_watch& watch, log_time now)
{
    if (now - watch.leaderSeenAt < absenceReportInterval || now - watch.reportedAt < absenceReportInterval)
        return false;
    watch.reportedAt = now;
    return true;
}

log_duration takeLongestLag(election_watch& watch) { return std::exchange(watch.longestLag, log_duration { 0 }); }

} // namespace chervilport
