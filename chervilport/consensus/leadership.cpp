#include "chervilport/consensus/leadership.h"

#include "chervilport/consensus/election.h"
#include "chervilport/consensus/membership_change.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/consensus/replica_state.h"
#include "chervilport/consensus/replication.h"

#include <algorithm>

namespace chervilport {

namespace {

    bool isSelf(const replica& state, const member& other) { return other.id == state.config.self.id; }

    bool hearsQuorum(const replica& state)
    {
        std::vector<log_time> heard;
        for (const auto& voter : membersOf(state).voters)
            heard.push_back(isSelf(state, voter) ? state.now : state.peers.at(voter.id).lastHeard);
        return state.now < reachedByQuorum(std::move(heard)) + state.config.electionTimeout;
    }

    void startRound(replica& state)
    {
        ++state.round;
        state.rounds.push_back({ state.round, state.now });
        while (state.rounds.front().at + state.config.electionTimeout < state.now)
            state.rounds.pop_front();
        state.nextHeartbeat = state.now + state.config.heartbeat;
    }

    /// Ends leadership after the own removal; the successor is asked to stand so that nobody waits for a timeout.
    void leaveAfterRemoval(replica& state, replica_output& output)
    {
        for (auto& [id, peer] : state.peers)
            sendHeartbeat(state, id, peer, output);
        const auto target = mostAdvancedVoter(state);
        if (target)
            send(state, output, *target, state.hard.term, transfer_request {});
        becomeFollower(state, state.hard.term, std::nullopt);
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
    appendOwn(state, entry_kind::Noop, {}, output);
    sendToAll(state, output);
}

void tickLeader(replica& state, replica_output& output)
{
    if (!hearsQuorum(state)) {
        becomeFollower(state, state.hard.term, std::nullopt);
        return;
    }
    if (state.transfer && state.now >= state.transfer->deadline) {
        // A request to stand that is still on its way must not meet a lease of this term.
        if (state.transfer->asked) {
            becomeFollower(state, state.hard.term, std::nullopt);
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
    std::vector<std::uint64_t> held;
    for (const auto& voter : membersOf(state).voters)
        held.push_back(isSelf(state, voter) ? state.persistedIndex : state.peers.at(voter.id).match);
    const auto index = reachedByQuorum(std::move(held));
    // Entries of earlier terms are committed only through a later entry of the own term.
    if (index <= state.commitIndex || termAt(state.log, index) != state.hard.term)
        return;
    state.commitIndex = index;
    const bool removed = !isVoter(membersOf(state), state.config.self) && membershipIndexOf(state) <= state.commitIndex;
    if (removed)
        leaveAfterRemoval(state, output);
    else
        reviewMembership(state, output);
}

bool hasCommittedInTerm(const replica& state)
{
    return state.role == replica_role::Leader && state.commitIndex >= state.termStartIndex;
}

void continueTransfer(replica& state, replica_output& output)
{
    if (!state.transfer || state.transfer->asked)
        return;
    const auto target = state.peers.find(state.transfer->target);
    if (target == state.peers.end() || target->second.match != lastIndex(state.log))
        return;
    send(state, output, state.transfer->target, state.hard.term, transfer_request {});
    state.transfer->asked = true;
}

bool isLeaseValid(const replica& state, log_time now)
{
    if (state.role != replica_role::Leader || (state.transfer && state.transfer->asked))
        return false;
    std::vector<log_time> supported;
    for (const auto& voter : membersOf(state).voters) {
        if (isSelf(state, voter))
            supported.push_back(now);
        else
            supported.push_back(state.peers.at(voter.id).supportedSince.value_or(log_time::min()));
    }
    const auto since = reachedByQuorum(std::move(supported));
    if (since == log_time::min())
        return false;
    // The voters wait for a whole election timeout by their own clocks, which may run faster by the margin.
    const auto timeout = state.config.electionTimeout;
    return now < since + timeout - timeout * state.config.clockRateMargin / 1000;
}

} // namespace chervilport
