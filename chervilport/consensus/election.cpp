#include "chervilport/consensus/election.h"

#include "chervilport/consensus/leadership.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/consensus/replica_state.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chervilport {

namespace {

    /// Returns the next number of the splitmix64 generator.
    std::uint64_t nextRandom(replica& state)
    {
        state.randomState += 0x9e3779b97f4a7c15ULL;
        auto value = state.randomState;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

    /// Returns whether a leader may hold a lease that counts on this member.
    bool supportsLease(const replica& state)
    {
        if (state.role == replica_role::Leader)
            return true;
        return state.now < state.leaderContact + state.config.electionTimeout;
    }

    /// Returns whether a rule holds for the current membership or for an earlier one that a rollback may restore.
    template <typename Rule> bool holdsForAnyPossibleMembership(const replica& state, Rule rule)
    {
        for (auto record = state.memberships.rbegin(); record != state.memberships.rend(); ++record) {
            if (rule(record->members, state.config.self))
                return true;
            if (record->index <= state.commitIndex)
                return false;
        }
        return false;
    }

    bool hasWon(const replica& state)
    {
        const auto& voters = membersOf(state).voters;
        const auto granted = std::count_if(
            voters.begin(), voters.end(), [&](const member& voter) { return state.votes.contains(voter.id); });
        return static_cast<std::size_t>(granted) >= quorumSize(membersOf(state));
    }

    void requestVotes(replica& state, election_cause cause, replica_output& output)
    {
        const auto term = state.hardState.term + (state.preVoting ? 1 : 0);
        const vote_request request { state.preVoting, cause == election_cause::Transfer, lastIndex(state.log),
            lastTerm(state.log) };
        for (const auto& voter : membersOf(state).voters) {
            if (voter.id != state.config.self.id)
                send(state, output, voter.id, term, request);
        }
    }

    void becomeCandidate(replica& state, bool preVote, election_cause cause, replica_output& output)
    {
        state.role = replica_role::Candidate;
        state.preVoting = preVote;
        state.leader.reset();
        state.votes = { state.config.self.id };
        resetElectionDeadline(state);
        if (!preVote) {
            ++state.hardState.term;
            state.hardState.votedFor = state.config.self.id;
        }
        if (!hasWon(state)) {
            requestVotes(state, cause, output);
            return;
        }
        if (preVote)
            becomeCandidate(state, false, cause, output);
        else
            becomeLeader(state, output);
    }

    bool canVoteFor(const replica& state, const message& received, const vote_request& request)
    {
        if (request.preVote && received.term > state.hardState.term)
            return true;
        if (state.hardState.votedFor)
            return *state.hardState.votedFor == received.from;
        return !state.leader;
    }

} // namespace

void resetElectionDeadline(replica& state)
{
    const auto timeout = state.config.electionTimeout;
    const auto spread = static_cast<std::uint64_t>(timeout.count()) / 2 + 1;
    state.electionDeadline = state.now + timeout + log_duration(nextRandom(state) % spread);
}

void becomeFollower(replica& state, std::uint64_t term, std::optional<member_id> leader)
{
    assert(term >= state.hardState.term);
    if (term > state.hardState.term)
        state.hardState = { term, std::nullopt };
    state.role = replica_role::Follower;
    state.leader = leader;
    state.peers.clear();
    state.rounds.clear();
    state.votes.clear();
    state.transfer.reset();
    resetElectionDeadline(state);
}

void startElection(replica& state, election_cause cause, replica_output& output)
{
    // A voter whose removal is not committed may have the longest log, and then only this voter can win.
    if (!holdsForAnyPossibleMembership(state, isVoter)) {
        resetElectionDeadline(state);
        return;
    }
    becomeCandidate(state, cause == election_cause::Timeout, cause, output);
}

void handleVoteRequest(replica& state, const message& received, const vote_request& request, replica_output& output)
{
    // A member whose current incarnation is not admitted may have lost the record of an earlier vote.
    if (!holdsForAnyPossibleMembership(state, isListed))
        return;
    if (received.term < state.hardState.term) {
        send(state, output, received.from, state.hardState.term, vote_response { request.preVote, false });
        return;
    }
    // Refuse to vote while a leader may hold a lease, unless the leader itself requested the election.
    if (!request.transfer && supportsLease(state))
        return;
    if (!request.preVote && received.term > state.hardState.term)
        becomeFollower(state, received.term, std::nullopt);

    const bool granted = canVoteFor(state, received, request) && isUpToDate(state, request.lastTerm, request.lastIndex);
    if (granted && !request.preVote) {
        becomeFollower(state, state.hardState.term, std::nullopt);
        state.hardState.votedFor = received.from;
    }
    const auto term = granted ? received.term : state.hardState.term;
    send(state, output, received.from, term, vote_response { request.preVote, granted });
}

void handleVoteResponse(replica& state, const message& received, const vote_response& response, replica_output& output)
{
    const bool grantedPreVote = response.preVote && response.granted;
    if (received.term > state.hardState.term && !grantedPreVote) {
        becomeFollower(state, received.term, std::nullopt);
        return;
    }
    const auto expectedTerm = state.hardState.term + (state.preVoting ? 1 : 0);
    if (state.role != replica_role::Candidate || !response.granted || response.preVote != state.preVoting
        || received.term != expectedTerm)
        return;
    state.votes.insert(received.from);
    if (!hasWon(state))
        return;
    if (state.preVoting)
        becomeCandidate(state, false, election_cause::Timeout, output);
    else
        becomeLeader(state, output);
}

void handleTransferRequest(replica& state, const message& received, replica_output& output)
{
    if (received.term == state.hardState.term && state.leader == received.from && state.role == replica_role::Follower)
        startElection(state, election_cause::Transfer, output);
}

bool isUpToDate(const replica& state, std::uint64_t otherLastTerm, std::uint64_t otherLastIndex)
{
    return std::pair(otherLastTerm, otherLastIndex) >= std::pair(lastTerm(state.log), lastIndex(state.log));
}

} // namespace chervilport
