#include "chervilport/consensus/replica.h"

#include "chervilport/consensus/election.h"
#include "chervilport/consensus/leadership.h"
#include "chervilport/consensus/membership_change.h"
#include "chervilport/consensus/membership_codec.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/consensus/replica_state.h"
#include "chervilport/consensus/replication.h"
#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    void advanceTime(replica& state, log_time now) { state.now = std::max(state.now, now); }

    /// Completes an output with what the step changed.
    void finish(replica& state, replica_output& output)
    {
        if (state.hard != state.handedOutHard) {
            output.hardState = state.hard;
            state.handedOutHard = state.hard;
        }
        while (state.appliedIndex < state.commitIndex)
            output.committed.push_back(entryAt(state.log, ++state.appliedIndex));
    }

    membership initialMembership(const replica_config& config, const entry_log& log)
    {
        if (log.lastSnapshot)
            return log.lastSnapshot->members;
        return isListed(config.initial, config.self) ? config.initial : membership {};
    }

    void loadMemberships(replica& state)
    {
        state.memberships.push_back({ state.log.baseIndex, initialMembership(state.config, state.log) });
        for (const auto& entry : state.log.entries) {
            if (entry.kind == entry_kind::Membership)
                state.memberships.push_back({ entry.index, decodeMembership(entry.payload) });
        }
    }

    bool isFurther(const replica& state, std::uint64_t otherLastTerm, std::uint64_t otherLastIndex)
    {
        return std::pair(otherLastTerm, otherLastIndex) > std::pair(lastTerm(state.log), lastIndex(state.log));
    }

    /// Whether a sender that is not admitted here shows entries that this member lacks, so that one of them may have
    /// admitted it.
    bool showsFurtherLog(const replica& state, const message& received)
    {
        if (const auto* vote = std::get_if<vote_request>(&received.body))
            return isFurther(state, vote->lastTerm, vote->lastIndex);
        if (const auto* append = std::get_if<append_request>(&received.body)) {
            if (append->entries.empty())
                return isFurther(state, append->previousTerm, append->previousIndex);
            return isFurther(state, append->entries.back().term, append->entries.back().index);
        }
        if (const auto* snapshotSent = std::get_if<snapshot_request>(&received.body))
            return isFurther(state, snapshotSent->content.term, snapshotSent->content.index);
        return false;
    }

    /// Whether a message is from a member, or from a leader or candidate that may have become one.
    bool isCredible(const replica& state, const message& received)
    {
        const auto& members = membersOf(state);
        const auto* known = findMember(members, received.from);
        if (known && received.fromIncarnation <= known->incarnation)
            return received.fromIncarnation == known->incarnation;
        if (state.leader == received.from && received.term == state.hard.term)
            return true;
        const bool joining = members.voters.empty();
        return joining || showsFurtherLog(state, received);
    }

    void dispatch(replica& state, const message& received, replica_output& output)
    {
        if (const auto* vote = std::get_if<vote_request>(&received.body))
            handleVoteRequest(state, received, *vote, output);
        else if (const auto* voted = std::get_if<vote_response>(&received.body))
            handleVoteResponse(state, received, *voted, output);
        else if (const auto* append = std::get_if<append_request>(&received.body))
            handleAppendRequest(state, received, *append, output);
        else if (const auto* appended = std::get_if<append_response>(&received.body))
            handleAppendResponse(state, received, *appended, output);
        else if (const auto* snapshotSent = std::get_if<snapshot_request>(&received.body))
            handleSnapshotRequest(state, received, *snapshotSent, output);
        else
            handleTransferRequest(state, received, output);
    }

    /// Whether no other member can have been leader since the first entry held. A member that has become the only voter
    /// by the removal of the others still has to wait, because the last leader may hold a lease that relies on it.
    bool isOnlyVoter(const replica& state)
    {
        return std::all_of(
            state.memberships.begin(), state.memberships.end(), [&state](const membership_record& record) {
                return record.members.voters.size() == 1 && isVoter(record.members, state.config.self);
            });
    }

} // namespace

void replica_deleter::operator()(replica* state) const { delete state; }

replica_ptr makeReplica(const replica_config& config, persisted_state stored, log_time now)
{
    replica_ptr state(new replica);
    state->config = config;
    state->now = now;
    state->randomState = config.seed ^ (static_cast<std::uint64_t>(config.self.id) << 32);
    state->hard = stored.hard;
    state->handedOutHard = stored.hard;
    state->log = makeEntryLog(std::move(stored));
    loadMemberships(*state);
    state->commitIndex = state->log.baseIndex;
    state->appliedIndex = state->log.baseIndex;
    state->persistedIndex = lastIndex(state->log);
    // A leader may have been heard from just before the restart.
    state->leaderContact = now;
    resetElectionDeadline(*state);
    return state;
}

replica_output receive(replica& state, const message& received, log_time now)
{
    replica_output output;
    advanceTime(state, now);
    if (received.to != state.config.self.id || received.from == state.config.self.id)
        return output;
    if (isCredible(state, received))
        dispatch(state, received, output);
    else if (std::holds_alternative<append_response>(received.body))
        noteRestart(state, received, output);
    finish(state, output);
    return output;
}

replica_output tick(replica& state, log_time now)
{
    replica_output output;
    advanceTime(state, now);
    if (state.role == replica_role::Leader)
        tickLeader(state, output);
    else if (isOnlyVoter(state) || state.now >= state.electionDeadline)
        startElection(state, election_cause::Timeout, output);
    finish(state, output);
    return output;
}

replica_output persisted(replica& state, log_time now)
{
    replica_output output;
    advanceTime(state, now);
    state.persistedIndex = lastIndex(state.log);
    if (state.role == replica_role::Leader)
        advanceCommit(state, output);
    finish(state, output);
    return output;
}

std::optional<std::uint64_t> propose(
    replica& state, std::vector<std::string> payloads, log_time now, replica_output& output)
{
    advanceTime(state, now);
    if (state.role != replica_role::Leader || state.transfer || payloads.empty())
        return std::nullopt;
    const auto first = lastIndex(state.log) + 1;
    for (auto& payload : payloads)
        appendOwn(state, entry_kind::Data, std::move(payload), output);
    sendToAll(state, output);
    finish(state, output);
    return first;
}

bool changeMember(replica& state, const member& changed, bool asVoter, log_time now, replica_output& output)
{
    advanceTime(state, now);
    const auto& members = membersOf(state);
    const auto* known = findMember(members, changed.id);
    if (!canChangeMembers(state) || (known && known->incarnation > changed.incarnation))
        return false;

    auto next = without(members, changed.id);
    const bool asVoterNow = asVoter && (isVoter(members, changed) || hasCaughtUp(state, changed));
    auto admitted = changed;
    admitted.promoteWhenCaughtUp = asVoter && !asVoterNow;
    (asVoterNow ? next.voters : next.learners).push_back(admitted);
    const bool changesNothing = known && *known == admitted && isVoter(members, changed) == asVoterNow;
    if (next.voters.empty() || changesNothing)
        return false;
    appendMembership(state, next, output);
    finish(state, output);
    return true;
}

bool removeMember(replica& state, member_id id, log_time now, replica_output& output)
{
    advanceTime(state, now);
    const auto& members = membersOf(state);
    const auto next = without(members, id);
    if (!canChangeMembers(state) || next == members || next.voters.empty())
        return false;
    appendMembership(state, next, output);
    finish(state, output);
    return true;
}

bool transferLeadership(replica& state, log_time now, replica_output& output)
{
    advanceTime(state, now);
    if (state.role != replica_role::Leader || state.transfer)
        return false;
    const auto target = mostAdvancedVoter(state);
    if (!target)
        return false;
    state.transfer = transfer_progress { *target, false, state.now + state.config.electionTimeout };
    continueTransfer(state, output);
    finish(state, output);
    return true;
}

snapshot compact(replica& state, std::uint64_t index, std::string data)
{
    if (index > state.appliedIndex)
        throw chervilport_error(error_kind::Internal, "snapshot after an entry that is not committed");
    const auto& last = state.log.lastSnapshot;
    if (last && index <= last->index)
        return *last;
    const auto record = std::find_if(state.memberships.rbegin(), state.memberships.rend(),
        [index](const membership_record& entry) { return entry.index <= index; });
    snapshot taken { index, termAt(state.log, index).value_or(0), record->members, std::move(data) };
    compactTo(state.log, taken, state.config.retainedEntries);
    // The membership in force before the first entry held stays as the one to roll back to.
    while (state.memberships.size() > 1 && state.memberships[1].index <= state.log.baseIndex)
        state.memberships.erase(state.memberships.begin());
    return taken;
}

bool holdsLease(const replica& state, log_time now) { return isLeaseValid(state, now); }

replica_status statusOf(const replica& state)
{
    replica_status status;
    status.role = state.role;
    if (state.role == replica_role::Follower && !isVoter(membersOf(state), state.config.self))
        status.role = replica_role::Learner;
    status.term = state.hard.term;
    status.leader = state.leader;
    status.lastIndex = lastIndex(state.log);
    status.commitIndex = state.commitIndex;
    status.members = membersOf(state);
    status.ready = hasCommittedInTerm(state);
    return status;
}

} // namespace chervilport
