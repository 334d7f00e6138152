#include "chervilport/control/gang_start_tracker.h"

namespace chervilport {

gang_run gangOf(const batch::run_ref& member)
{
    auto gang = member;
    gang.task.index = 0;
    return gang;
}

void noteStarted(gang_start_tracker& watch, const batch::run_ref& member, bool complete, log_time now)
{
    if (complete)
        forgetGang(watch, gangOf(member));
    else
        watch.firstStarted.emplace(gangOf(member), now);
}

void forgetGang(gang_start_tracker& watch, const gang_run& gang) { watch.firstStarted.erase(gang); }

std::vector<gang_run> takeIncomplete(gang_start_tracker& watch, log_time now, std::chrono::milliseconds timeout)
{
    std::vector<gang_run> late;
    std::erase_if(watch.firstStarted, [&](const auto& entry) {
        if (now - entry.second < timeout)
            return false;
        late.push_back(entry.first);
        return true;
    });
    return late;
}

} // namespace chervilport
