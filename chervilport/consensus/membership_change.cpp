#include "chervilport/consensus/membership_change.h"

#include "chervilport/consensus/leadership.h"
#include "chervilport/consensus/membership_codec.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/consensus/replica_state.h"
#include "chervilport/consensus/replication.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chervilport {

namespace {

    /// Returns the members after a restarted voter or learner is admitted as a learner under its new incarnation, if
    /// any member restarted.
    std::optional<membership> afterRestart(const replica& state)
    {
        for (const auto& [id, peer] : state.peers) {
            if (!peer.newerIncarnation)
                continue;
            const auto& members = membersOf(state);
            auto admitted = *findMember(members, id);
            admitted.incarnation = *peer.newerIncarnation;
            admitted.promoteWhenCaughtUp = admitted.promoteWhenCaughtUp || findVoter(members, id) != nullptr;
            auto changed = withoutMember(members, id);
            changed.learners.push_back(admitted);
            if (!changed.voters.empty())
                return changed;
        }
        return std::nullopt;
    }

    /// Returns the members after a learner that has caught up becomes a voter, if there is such a learner.
    std::optional<membership> afterPromotion(const replica& state)
    {
        const auto& members = membersOf(state);
        for (const auto& learner : members.learners) {
            if (!learner.promoteWhenCaughtUp || !hasCaughtUp(state, learner))
                continue;
            auto promoted = learner;
            promoted.promoteWhenCaughtUp = false;
            auto changed = withoutMember(members, learner.id);
            changed.voters.push_back(promoted);
            return changed;
        }
        return std::nullopt;
    }

} // namespace

bool canChangeMembers(const replica& state)
{
    return hasCommittedInTerm(state) && membershipIndexOf(state) <= state.commitIndex && !state.transfer;
}

void appendMembership(replica& state, const membership& members, replica_output& output)
{
    appendAsLeader(state, entry_kind::Membership, encodeMembership(members), output);
    sendToAll(state, output);
}

void recordRestart(replica& state, const message& received, replica_output& output)
{
    const auto found = state.peers.find(received.from);
    if (state.role != replica_role::Leader || found == state.peers.end()
        || received.fromIncarnation <= found->second.newerIncarnation.value_or(found->second.incarnation))
        return;
    found->second.newerIncarnation = received.fromIncarnation;
    advanceMembership(state, output);
}

void advanceMembership(replica& state, replica_output& output)
{
    if (!canChangeMembers(state))
        return;
    auto changed = afterRestart(state);
    if (!changed)
        changed = afterPromotion(state);
    if (changed)
        appendMembership(state, *changed, output);
}

bool hasCaughtUp(const replica& state, const member& learner)
{
    const auto peer = state.peers.find(learner.id);
    return peer != state.peers.end() && peer->second.incarnation == learner.incarnation
        && !peer->second.newerIncarnation && peer->second.matchIndex >= membershipIndexOf(state);
}

} // namespace chervilport
