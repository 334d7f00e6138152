#include "chervilport/consensus/leadership.h"

#include "chervilport/consensus/election.h"
#include "chervilport/consensus/membership_change.h"
#include "chervilport/consensus/membership_codec.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/consensus/replica_state.h"
#include "chervilport/consensus/replication.h"

#include <algorithm>

namespace chervilport {

namespace {

    bool isSelf(const replica& state, const member& other) { return other.id == state.config.self.id; }

    bool hasQuorumContact(const replica& state)
    {
        std::vector<log_time> contactTimes;
        for (const auto& voter : membersOf(state).voters)
            contactTimes.push_back(isSelf(state, voter) ? state.now : state.peers.at(voter.id).lastContact);
        return state.now < reachedByQuorum(std::move(contactTimes)) + state.config.electionTimeout;
    }

    void startRound(replica& state)
    {
        ++state.round;
        state.rounds.push_back({ state.round, state.now });
        while (state.rounds.front().startedAt + state.config.electionTimeout < state.now)
            state.rounds.pop_front();
        state.nextHeartbeat = state.now + state.config.heartbeatInterval;
    }

    /// Steps down after its own removal. The most advanced voter is requested to start an election at once, so that the
    /// group does not wait for an election timeout.
    void stepDownAfterRemoval(replica& state, replica_output& output)
    {
        for (auto& [id, peer] : state.peers)
            sendHeartbeat(state, id, peer, output);
        const auto target = mostAdvancedVoter(state);
        if (target)
            send(state, output, *target, state.hardState.term, transfer_request {});
        becomeFollower(state, state.hardState.term, std::nullopt);
    }

} // namespace

void becomeLeader(replica& state, replica_output& output)
{
    state.role = replica_role::Leader;
    state.leader = state.config.self.id;
    state.transfer.reset();
    state.rounds.clear();
    state.peers.clear();
    startRound(state);
    updatePeers(state);
    state.termStartIndex = lastIndex(state.log) + 1;
    // The initial membership is in the settings only. The log must contain it for members that join and for a restore.
    if (membershipIndexOf(state) == 0)
        appendAsLeader(state, entry_kind::Membership, encodeMembership(membersOf(state)), output);
    else
        appendAsLeader(state, entry_kind::Noop, {}, output);
    sendToAll(state, output);
}

void tickLeader(replica& state, replica_output& output)
{
    if (!hasQuorumContact(state)) {
        becomeFollower(state, state.hardState.term, std::nullopt);
        return;
    }
    if (state.transfer && state.now >= state.transfer->deadline) {
        // A transfer request that is still in flight must not coincide with a lease of this term.
        if (state.transfer->requestSent) {
            becomeFollower(state, state.hardState.term, std::nullopt);
            return;
        }
        state.transfer.reset();
    }
    if (state.now < state.nextHeartbeat)
        return;
    startRound(state);
    for (auto& [id, peer] : state.peers)
        sendHeartbeat(state, id, peer, output);
}

void advanceCommit(replica& state, replica_output& output)
{
    std::vector<std::uint64_t> persistedIndexes;
    for (const auto& voter : membersOf(state).voters)
        persistedIndexes.push_back(isSelf(state, voter) ? state.persistedIndex : state.peers.at(voter.id).matchIndex);
    const auto index = reachedByQuorum(std::move(persistedIndexes));
    // Entries of earlier terms are committed only by committing a later entry of the current term.
    if (index <= state.commitIndex || termAt(state.log, index) != state.hardState.term)
        return;
    state.commitIndex = index;
    const bool removed = !isVoter(membersOf(state), state.config.self) && membershipIndexOf(state) <= state.commitIndex;
    if (removed)
        stepDownAfterRemoval(state, output);
    else
        advanceMembership(state, output);
}

bool hasCommittedInTerm(const replica& state)
{
    return state.role == replica_role::Leader && state.commitIndex >= state.termStartIndex;
}

void continueTransfer(replica& state, replica_output& output)
{
    if (!state.transfer || state.transfer->requestSent)
        return;
    const auto target = state.peers.find(state.transfer->target);
    if (target == state.peers.end() || target->second.matchIndex != lastIndex(state.log))
        return;
    send(state, output, state.transfer->target, state.hardState.term, transfer_request {});
    state.transfer->requestSent = true;
}

bool isLeaseValid(const replica& state, log_time now)
{
    if (state.role != replica_role::Leader || (state.transfer && state.transfer->requestSent))
        return false;
    std::vector<log_time> supportedTimes;
    for (const auto& voter : membersOf(state).voters) {
        if (isSelf(state, voter))
            supportedTimes.push_back(now);
        else
            supportedTimes.push_back(state.peers.at(voter.id).supportedSince.value_or(log_time::min()));
    }
    const auto since = reachedByQuorum(std::move(supportedTimes));
    if (since == log_time::min())
        return false;
    // The voters refuse votes for a full election timeout by their own clocks, which may run faster by the margin.
    const auto timeout = state.config.electionTimeout;
    return now < since + timeout - timeout * state.config.clockRateMargin / 1000;
}

} // namespace chervilport
