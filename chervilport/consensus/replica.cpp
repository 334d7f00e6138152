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

    /// Adds changed term and vote and newly committed entries to an output.
    void finish(replica& state, replica_output& output)
    {
        if (state.hardState != state.lastOutputHardState) {
            output.hardState = state.hardState;
            state.lastOutputHardState = state.hardState;
        }
        while (state.appliedIndex < state.commitIndex)
            output.committed.push_back(entryAt(state.log, ++state.appliedIndex));
    }

    membership initialMembership(const replica_config& config, const entry_log& log)
    {
        if (log.lastSnapshot)
            return log.lastSnapshot->members;
        return isListed(config.initialMembership, config.self) ? config.initialMembership : membership {};
    }

    void loadMemberships(replica& state)
    {
        state.memberships.push_back({ state.log.baseIndex, initialMembership(state.config, state.log) });
        for (const auto& entry : state.log.entries) {
            if (entry.kind == entry_kind::Membership)
                state.memberships.push_back({ entry.index, decodeMembership(entry.payload) });
        }
    }

    bool isNewerThanOwnLog(const replica& state, std::uint64_t otherLastTerm, std::uint64_t otherLastIndex)
    {
        return std::pair(otherLastTerm, otherLastIndex) > std::pair(lastTerm(state.log), lastIndex(state.log));
    }

    /// Returns whether a message of a sender that is not admitted refers to entries that this member lacks. One of them
    /// may be the membership entry that admitted the sender.
    bool hasNewerLog(const replica& state, const message& received)
    {
        if (const auto* vote = std::get_if<vote_request>(&received.body))
            return isNewerThanOwnLog(state, vote->lastTerm, vote->lastIndex);
        if (const auto* append = std::get_if<append_request>(&received.body)) {
            if (append->entries.empty())
                return isNewerThanOwnLog(state, append->previousTerm, append->previousIndex);
            return isNewerThanOwnLog(state, append->entries.back().term, append->entries.back().index);
        }
        if (const auto* snapshotSent = std::get_if<snapshot_request>(&received.body))
            return isNewerThanOwnLog(state, snapshotSent->content.term, snapshotSent->content.index);
        return false;
    }

    /// Returns whether a message is from a member, or from a leader or candidate that may have become a member.
    bool isFromAcceptableSender(const replica& state, const message& received)
    {
        const auto& members = membersOf(state);
        const auto* listed = findMember(members, received.from);
        if (listed && received.fromIncarnation <= listed->incarnation)
            return received.fromIncarnation == listed->incarnation;
        if (state.leader == received.from && received.term == state.hardState.term)
            return true;
        const bool joining = members.voters.empty();
        return joining || hasNewerLog(state, received);
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

    /// Returns whether no other member can have been leader since the first entry in memory. A member that became the
    /// only voter by removal of the others still waits for the election timeout, because the last leader may hold a
    /// lease that counts on it.
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
    state->hardState = stored.hardState;
    state->lastOutputHardState = stored.hardState;
    state->log = makeEntryLog(std::move(stored));
    loadMemberships(*state);
    state->commitIndex = state->log.baseIndex;
    state->appliedIndex = state->log.baseIndex;
    state->persistedIndex = lastIndex(state->log);
    // A leader may have contacted this member just before the restart and may hold a lease that counts on it.
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
    if (isFromAcceptableSender(state, received))
        dispatch(state, received, output);
    else if (std::holds_alternative<append_response>(received.body))
        recordRestart(state, received, output);
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
        appendAsLeader(state, entry_kind::Data, std::move(payload), output);
    sendToAll(state, output);
    finish(state, output);
    return first;
}

bool changeMember(replica& state, const member& changed, bool asVoter, log_time now, replica_output& output)
{
    advanceTime(state, now);
    const auto& members = membersOf(state);
    const auto* listed = findMember(members, changed.id);
    if (!canChangeMembers(state) || (listed && listed->incarnation > changed.incarnation))
        return false;

    // Admit the member as a voter only if it is one already or has caught up.
    auto next = withoutMember(members, changed.id);
    const bool asVoterNow = asVoter && (isVoter(members, changed) || hasCaughtUp(state, changed));
    auto admitted = changed;
    admitted.promoteWhenCaughtUp = asVoter && !asVoterNow;
    (asVoterNow ? next.voters : next.learners).push_back(admitted);

    // Refuse a change without effect or without remaining voters.
    const bool changesNothing = listed && *listed == admitted && isVoter(members, changed) == asVoterNow;
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
    const auto next = withoutMember(members, id);
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
        throw chervilport_error(error_kind::Internal,
            "snapshot at index " + std::to_string(index) + " is beyond the last applied entry "
                + std::to_string(state.appliedIndex));
    const auto& last = state.log.lastSnapshot;
    if (last && index <= last->index)
        return *last;
    const auto record = std::find_if(state.memberships.rbegin(), state.memberships.rend(),
        [index](const membership_record& entry) { return entry.index <= index; });
    snapshot taken { index, termAt(state.log, index).value_or(0), record->members, std::move(data) };
    compactTo(state.log, taken, state.config.retainedEntries);
    // The membership in effect before the first entry in memory is kept for rollback.
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
    status.term = state.hardState.term;
    status.leader = state.leader;
    status.lastIndex = lastIndex(state.log);
    status.commitIndex = state.commitIndex;
    status.members = membersOf(state);
    status.ready = hasCommittedInTerm(state);
    return status;
}

} // namespace chervilport
