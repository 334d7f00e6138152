#include "chervilport/control/gang_start_tracker.h"

namespace chervilport {

gang_run gangOf(const batch::run_ref& member)
{
    auto gang = member;
    gang.task.index = 0;
    return gang;
}

void recordStart(gang_start_tracker& tracker, const batch::run_ref& member, bool complete, log_time now)
{
    if (complete)
        removeGang(tracker, gangOf(member));
    else
        tracker.firstStartedAt.emplace(gangOf(member), now);
}

void removeGang(gang_start_tracker& tracker, const gang_run& gang) { tracker.firstStartedAt.erase(gang); }

std::vector<gang_run> takeIncomplete(gang_start_tracker& tracker, log_time now, std::chrono::milliseconds timeout)
{
    std::vector<gang_run> overdue;
    std::erase_if(tracker.firstStartedAt, [&](const auto& entry) {
        if (now - entry.second < timeout)
            return false;
        overdue.push_back(entry.first);
        return true;
    });
    return overdue;
}

} // namespace chervilport
