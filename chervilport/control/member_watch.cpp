#include "chervilport/control/member_watch.h"

namespace chervilport {

namespace {

    /// Like `removalTimeout`, but shorter, for the case that a member was admitted recently and replaces the lost one.
    constexpr std::chrono::milliseconds replacementTimeout { 1'500 };
    /// Time for which an admission counts as recent.
    constexpr std::chrono::milliseconds recentAdmissionWindow { 15'000 };
    /// Time without a connection after which a member is removed when the group has more voters than its fault
    /// tolerance requires.
    constexpr std::chrono::milliseconds removalTimeout { 20'000 };

    std::set<member_id> idsOf(const membership& members)
    {
        std::set<member_id> ids;
        for (const auto& each : members.voters)
            ids.insert(each.id);
        for (const auto& each : members.learners)
            ids.insert(each.id);
        return ids;
    }

    bool hasRecentAdmission(const member_watch& watch, log_time now)
    {
        return watch.lastAdmission != log_time {} && now - watch.lastAdmission < recentAdmissionWindow;
    }

} // namespace

void recordMembership(member_watch& watch, const membership& members, log_time now)
{
    auto ids = idsOf(members);
    if (!watch.members.empty()) {
        for (const auto id : ids) {
            if (!watch.members.contains(id))
                watch.lastAdmission = now;
        }
    }
    watch.members = std::move(ids);
}

std::optional<member_id> chooseRemoval(
    const member_watch& watch, const membership& members, member_id self, std::size_t requiredVoters, log_time now)
{
    if (members.voters.size() <= requiredVoters)
        return std::nullopt;
    const auto timeout = hasRecentAdmission(watch, now) ? replacementTimeout : removalTimeout;
    for (const auto& voter : members.voters) {
        const auto disconnected = watch.disconnectedSince.find(voter.id);
        if (voter.id == self || disconnected == watch.disconnectedSince.end())
            continue;
        if (now - disconnected->second >= timeout)
            return voter.id;
    }
    return std::nullopt;
}

} // namespace chervilport
