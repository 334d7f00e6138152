#include "chervilport/consensus/replication.h"

#include "chervilport/consensus/election.h"
#include "chervilport/consensus/leadership.h"
#include "chervilport/consensus/membership_change.h"
#include "chervilport/consensus/membership_codec.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/consensus/replica_state.h"
#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// Number of heartbeat intervals without a response after which a member is only probed.
    constexpr int maxUnansweredHeartbeats = 2;

    void sendAppend(const replica& state, member_id to, std::uint64_t previous, std::vector<log_entry> entries,
        replica_output& output)
    {
        append_request request;
        request.previousIndex = previous;
        request.previousTerm = termAt(state.log, previous).value_or(0);
        request.commitIndex = state.commitIndex;
        request.round = state.round;
        request.entries = std::move(entries);
        send(state, output, to, state.hardState.term, std::move(request));
    }

    void sendSnapshot(const replica& state, member_id to, peer_progress& peer, replica_output& output)
    {
        peer.mode = send_mode::Snapshot;
        peer.snapshotIndex = state.log.lastSnapshot->index;
        peer.snapshotSentAt = state.now;
        peer.inFlight.clear();
        send(state, output, to, state.hardState.term, snapshot_request { *state.log.lastSnapshot, state.round });
    }

    void probeFrom(peer_progress& peer, std::uint64_t nextIndex)
    {
        peer.mode = send_mode::Probe;
        peer.nextIndex = std::max(nextIndex, peer.matchIndex + 1);
        peer.probePending = false;
        peer.inFlight.clear();
    }

    void pipelineFrom(peer_progress& peer, std::uint64_t nextIndex)
    {
        peer.mode = send_mode::Pipeline;
        peer.nextIndex = nextIndex;
        peer.probePending = false;
        peer.inFlight.clear();
    }

    void recordAccepted(peer_progress& peer, std::uint64_t matchIndex)
    {
        peer.matchIndex = std::max(peer.matchIndex, matchIndex);
        if (peer.mode == send_mode::Pipeline) {
            peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
            while (!peer.inFlight.empty() && peer.inFlight.front() <= peer.matchIndex)
                peer.inFlight.pop_front();
        } else if (peer.mode == send_mode::Probe) {
            pipelineFrom(peer, peer.matchIndex + 1);
        }
    }

    void recordRejected(peer_progress& peer, std::uint64_t hint)
    {
        // A member does not lose acknowledged entries, so this response is older than one already handled.
        if (hint < peer.matchIndex || peer.mode == send_mode::Snapshot)
            return;
        probeFrom(peer, std::min(peer.nextIndex, hint + 1));
    }

    /// Leaves `Snapshot` mode when the snapshot is acknowledged, or after an election timeout without a response.
    void updateSnapshotMode(const replica& state, peer_progress& peer)
    {
        if (peer.mode != send_mode::Snapshot)
            return;
        if (peer.matchIndex >= peer.snapshotIndex)
            pipelineFrom(peer, peer.matchIndex + 1);
        else if (state.now >= peer.snapshotSentAt + state.config.electionTimeout)
            probeFrom(peer, peer.matchIndex + 1);
    }

    void recordRound(const replica& state, peer_progress& peer, std::uint64_t round)
    {
        const auto found = std::find_if(state.rounds.begin(), state.rounds.end(),
            [round](const round_start& started) { return started.round == round; });
        if (found != state.rounds.end())
            peer.supportedSince = std::max(peer.supportedSince.value_or(found->startedAt), found->startedAt);
    }

    void rollBackMemberships(replica& state, std::uint64_t first)
    {
        while (state.memberships.size() > 1 && state.memberships.back().index >= first)
            state.memberships.pop_back();
    }

    void appendReceived(replica& state, const log_entry& entry, replica_output& output)
    {
        state.log.entries.push_back(entry);
        output.appended.push_back(entry);
        if (entry.kind == entry_kind::Membership)
            state.memberships.push_back({ entry.index, decodeMembership(entry.payload) });
    }

    void storeReceived(replica& state, const std::vector<log_entry>& entries, replica_output& output)
    {
        for (const auto& entry : entries) {
            const auto held = termAt(state.log, entry.index);
            if (entry.index <= state.log.baseIndex || held == entry.term)
                continue;
            if (held) {
                if (entry.index <= state.commitIndex)
                    throw chervilport_error(error_kind::Internal,
                        "leader sent entry " + std::to_string(entry.index) + " with term " + std::to_string(entry.term)
                            + ", but it is committed with term " + std::to_string(*held));
                truncateFrom(state.log, entry.index);
                rollBackMemberships(state, entry.index);
                state.persistedIndex = std::min(state.persistedIndex, entry.index - 1);
            }
            appendReceived(state, entry, output);
        }
    }

    /// Returns the `previousIndex` that the leader should try next after `previous` did not match.
    std::uint64_t matchHint(const replica& state, std::uint64_t previous)
    {
        if (previous > lastIndex(state.log))
            return lastIndex(state.log);
        // All entries of the conflicting term are skipped at once.
        const auto conflicting = termAt(state.log, previous);
        auto hint = previous - 1;
        while (hint > state.commitIndex && termAt(state.log, hint) == conflicting)
            --hint;
        return hint;
    }

    /// Accepts the sender as leader of its term. Returns false when the request must be refused.
    bool acceptLeader(replica& state, const message& received, std::uint64_t round, replica_output& output)
    {
        if (received.term < state.hardState.term) {
            send(state, output, received.from, state.hardState.term,
                append_response { false, state.commitIndex, round });
            return false;
        }
        if (state.role == replica_role::Leader && received.term == state.hardState.term)
            return false;
        becomeFollower(state, received.term, received.from);
        state.leaderContact = state.now;
        return true;
    }

} // namespace

void appendAsLeader(replica& state, entry_kind kind, std::string payload, replica_output& output)
{
    const log_entry entry { lastIndex(state.log) + 1, state.hardState.term, kind, std::move(payload) };
    appendReceived(state, entry, output);
    if (kind == entry_kind::Membership)
        updatePeers(state);
}

void updatePeers(replica& state)
{
    const auto& members = membersOf(state);
    std::erase_if(state.peers, [&](const auto& item) {
        const auto* listed = findMember(members, item.first);
        return !listed || listed->incarnation != item.second.incarnation;
    });
    for (const auto* group : { &members.voters, &members.learners }) {
        for (const auto& listed : *group) {
            if (listed.id == state.config.self.id || state.peers.contains(listed.id))
                continue;
            peer_progress peer;
            peer.incarnation = listed.incarnation;
            peer.nextIndex = lastIndex(state.log) + 1;
            peer.lastContact = state.now;
            state.peers.emplace(listed.id, std::move(peer));
        }
    }
}

void sendEntries(replica& state, member_id to, peer_progress& peer, replica_output& output)
{
    if (peer.mode == send_mode::Probe && !peer.probePending) {
        if (peer.nextIndex <= state.log.baseIndex) {
            sendSnapshot(state, to, peer, output);
            return;
        }
        peer.probePending = true;
        sendAppend(
            state, to, peer.nextIndex - 1, copyEntries(state.log, peer.nextIndex, state.config.maxAppendBytes), output);
        return;
    }
    while (peer.mode == send_mode::Pipeline && peer.nextIndex <= lastIndex(state.log)
        && peer.inFlight.size() < state.config.maxInFlightAppends) {
        if (peer.nextIndex <= state.log.baseIndex) {
            sendSnapshot(state, to, peer, output);
            return;
        }
        auto entries = copyEntries(state.log, peer.nextIndex, state.config.maxAppendBytes);
        const auto previous = peer.nextIndex - 1;
        peer.nextIndex = entries.back().index + 1;
        peer.inFlight.push_back(entries.back().index);
        sendAppend(state, to, previous, std::move(entries), output);
    }
}

void sendToAll(replica& state, replica_output& output)
{
    for (auto& [id, peer] : state.peers)
        sendEntries(state, id, peer, output);
}

void sendHeartbeat(replica& state, member_id to, peer_progress& peer, replica_output& output)
{
    const bool isUnresponsive = state.now > peer.lastContact + maxUnansweredHeartbeats * state.config.heartbeatInterval;
    if (peer.mode == send_mode::Pipeline && isUnresponsive && !peer.inFlight.empty()) {
        probeFrom(peer, peer.matchIndex + 1);
        peer.probePending = true;
    }
    // Position 0 matches every log; it is used when the term of the previous entry is no longer in the log.
    const bool hasPreviousTerm = peer.mode != send_mode::Snapshot && termAt(state.log, peer.nextIndex - 1).has_value();
    sendAppend(state, to, hasPreviousTerm ? peer.nextIndex - 1 : 0, {}, output);
}

std::optional<member_id> mostAdvancedVoter(const replica& state)
{
    std::optional<member_id> best;
    std::uint64_t bestMatch = 0;
    for (const auto& voter : membersOf(state).voters) {
        const auto peer = state.peers.find(voter.id);
        if (peer == state.peers.end() || peer->second.newerIncarnation
            || state.now >= peer->second.lastContact + state.config.electionTimeout)
            continue;
        if (!best || peer->second.matchIndex > bestMatch) {
            best = voter.id;
            bestMatch = peer->second.matchIndex;
        }
    }
    return best;
}

void handleAppendRequest(replica& state, const message& received, const append_request& request, replica_output& output)
{
    if (!acceptLeader(state, received, request.round, output))
        return;
    append_response response { true, state.commitIndex, request.round };
    if (request.previousIndex > lastIndex(state.log)
        || (request.previousIndex > state.commitIndex
            && termAt(state.log, request.previousIndex) != request.previousTerm)) {
        response.accepted = false;
        response.matchIndex = matchHint(state, request.previousIndex);
    } else {
        storeReceived(state, request.entries, output);
        const auto lastSent = request.previousIndex + request.entries.size();
        state.commitIndex = std::max(state.commitIndex, std::min(request.commitIndex, lastSent));
        response.matchIndex = std::max(lastSent, state.commitIndex);
    }
    send(state, output, received.from, state.hardState.term, response);
}

void handleSnapshotRequest(
    replica& state, const message& received, const snapshot_request& request, replica_output& output)
{
    if (!acceptLeader(state, received, request.round, output))
        return;
    const auto& content = request.content;
    if (content.index > state.commitIndex) {
        // If the log contains the last entry of the snapshot, it contains all entries before it as well, and only the
        // commit index advances. Dropping the entries after it could lose acknowledged ones.
        if (termAt(state.log, content.index) != content.term) {
            resetToSnapshot(state.log, content);
            state.memberships = { { content.index, content.members } };
            state.appliedIndex = content.index;
            state.persistedIndex = content.index;
            output.installedSnapshot = content;
        }
        state.commitIndex = content.index;
    }
    const append_response response { true, state.commitIndex, request.round };
    send(state, output, received.from, state.hardState.term, response);
}

void handleAppendResponse(
    replica& state, const message& received, const append_response& response, replica_output& output)
{
    if (received.term > state.hardState.term) {
        becomeFollower(state, received.term, std::nullopt);
        return;
    }
    const auto found = state.peers.find(received.from);
    if (state.role != replica_role::Leader || received.term < state.hardState.term || found == state.peers.end())
        return;
    auto& peer = found->second;
    peer.lastContact = state.now;
    recordRound(state, peer, response.round);
    if (response.accepted)
        recordAccepted(peer, response.matchIndex);
    else
        recordRejected(peer, response.matchIndex);
    updateSnapshotMode(state, peer);

    advanceCommit(state, output);
    if (state.role != replica_role::Leader)
        return;
    advanceMembership(state, output);
    continueTransfer(state, output);
    sendToAll(state, output);
}

} // namespace chervilport
