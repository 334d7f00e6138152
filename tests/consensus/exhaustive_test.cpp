#include "chervilport/consensus/election.h"
#include "chervilport/consensus/replica_state.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <sstream>
#include <stdexcept>
#include <unordered_map>

using namespace chervilport;

namespace {

constexpr int memberCount = 3;

/// Number of events that may still occur on a path.
struct event_budget {
    int elections = 0;
    int proposals = 0;
    int crashes = 0;
};

/// State of all members, their disks and the messages in flight. Copied for each explored step; every output is synced
/// at once.
struct group_state {
    std::array<replica, memberCount> members;
    std::array<persisted_state, memberCount> disks;
    std::vector<message> inFlight;
    std::map<std::uint64_t, log_entry> committed;
    /// Term of the member that first reported an entry as committed; leaders of later terms must have the entry.
    std::map<std::uint64_t, std::uint64_t> commitTerms;
    std::map<std::uint64_t, member_id> leaders;
    event_budget remaining;
};

void require(bool holds, const char* property)
{
    if (!holds)
        throw std::logic_error(property);
}

void checkLeader(group_state& next, const replica& state)
{
    const auto [known, added] = next.leaders.try_emplace(state.hardState.term, state.config.self.id);
    require(known->second == state.config.self.id, "two leaders in one term");
    for (const auto& [index, entry] : next.committed)
        require(!added || next.commitTerms.at(index) >= state.hardState.term || termAt(state.log, index) == entry.term,
            "new leader lacks a committed entry");
}

void processOutput(group_state& next, int at, replica_output output)
{
    auto& state = next.members[at];
    auto& disk = next.disks[at];
    disk.hardState = output.hardState.value_or(disk.hardState);
    for (const auto& entry : output.appended) {
        disk.entries.resize(entry.index - 1);
        disk.entries.push_back(entry);
    }
    for (const auto& entry : output.committed) {
        const auto [known, added] = next.committed.try_emplace(entry.index, entry);
        next.commitTerms.try_emplace(entry.index, state.hardState.term);
        require(known->second == entry, "different entries committed at one index");
    }
    std::move(output.messages.begin(), output.messages.end(), std::back_inserter(next.inFlight));
    if (state.role == replica_role::Leader)
        checkLeader(next, state);
    if (!output.appended.empty())
        processOutput(next, at, persisted(state, state.now));
}

/// Returns a text of everything that determines the further behaviour of a state.
std::string fingerprint(const group_state& state)
{
    std::ostringstream out;
    for (const auto& one : state.members) {
        out << one.hardState.term << ' ' << static_cast<std::uint64_t>(one.hardState.votedFor.value_or(member_id {}))
            << ' ' << static_cast<int>(one.role) << ' ' << static_cast<std::uint64_t>(one.leader.value_or(member_id {}))
            << ' ' << one.commitIndex << ' ' << one.votes.size() << '[';
        for (const auto& entry : one.log.entries)
            out << entry.term << ',' << std::hash<std::string> {}(entry.payload) << ' ';
        for (const auto& [id, peer] : one.peers)
            out << peer.matchIndex << '/' << peer.nextIndex << static_cast<int>(peer.mode) << peer.probePending
                << peer.inFlight.size() << peer.incarnation << peer.newerIncarnation.value_or(0) << ' ';
        out << "]" << one.config.self.incarnation << '\n';
    }
    std::vector<std::string> messages;
    for (const auto& sent : state.inFlight) {
        std::ostringstream text;
        text << static_cast<std::uint64_t>(sent.from) << static_cast<std::uint64_t>(sent.to) << sent.term << ':'
             << sent.body.index() << ' ' << sent.fromIncarnation << ' ';
        if (const auto* append = std::get_if<append_request>(&sent.body)) {
            text << append->previousIndex << ' ' << append->previousTerm << ' ' << append->commitIndex;
            for (const auto& entry : append->entries)
                text << ',' << entry.term;
        } else if (const auto* response = std::get_if<append_response>(&sent.body)) {
            text << response->accepted << response->matchIndex;
        } else if (const auto* vote = std::get_if<vote_response>(&sent.body)) {
            text << vote->granted;
        }
        messages.push_back(text.str());
    }
    std::sort(messages.begin(), messages.end());
    for (const auto& text : messages)
        out << text << '\n';
    for (const auto& [index, entry] : state.committed)
        out << entry.term << ' ';
    out << state.remaining.elections << state.remaining.proposals << state.remaining.crashes;
    return out.str();
}

/// Depth-first search over all orders of deliveries, losses, elections, proposals and crashes.
class state_search {
public:
    explicit state_search(int depth)
        : m_depth(depth)
    {
    }

    void explore(const group_state& state, int depth = 0)
    {
        if (depth == m_depth)
            return;
        // A state that is reached again by a shorter path has more remaining steps and is explored again.
        const auto [known, added] = m_seen.try_emplace(std::hash<std::string> {}(fingerprint(state)), depth);
        if (!added && known->second <= depth)
            return;
        known->second = depth;
        // A message that is not delivered on a path counts as lost, so losses need no separate steps.
        for (std::size_t i = 0; i < state.inFlight.size(); ++i)
            explore(afterDelivery(state, i), depth + 1);
        for (int at = 0; at < memberCount; ++at) {
            if (state.remaining.elections > 0 && state.members[at].role != replica_role::Leader)
                explore(afterElection(state, at), depth + 1);
            if (state.remaining.proposals > 0 && state.members[at].role == replica_role::Leader)
                explore(afterProposal(state, at), depth + 1);
            if (state.remaining.crashes > 0)
                explore(afterCrash(state, at), depth + 1);
        }
    }

    std::size_t states() const { return m_seen.size(); }

private:
    static group_state afterDelivery(group_state next, std::size_t which)
    {
        const auto delivered = next.inFlight[which];
        next.inFlight.erase(next.inFlight.begin() + static_cast<std::ptrdiff_t>(which));
        const auto at = static_cast<int>(delivered.to) - 1;
        processOutput(next, at, receive(next.members[at], delivered, next.members[at].now));
        return next;
    }

    /// The member skips the pre-vote, as after a transfer request, to reduce the number of states.
    static group_state afterElection(group_state next, int at)
    {
        --next.remaining.elections;
        replica_output output;
        startElection(next.members[at], election_cause::Transfer, output);
        output.hardState = next.members[at].hardState;
        processOutput(next, at, std::move(output));
        return next;
    }

    static group_state afterProposal(group_state next, int at)
    {
        --next.remaining.proposals;
        replica_output output;
        propose(next.members[at], { "x" }, next.members[at].now, output);
        processOutput(next, at, std::move(output));
        return next;
    }

    static group_state afterCrash(group_state next, int at)
    {
        --next.remaining.crashes;
        auto config = next.members[at].config;
        if (!config.self.hasDisk) {
            ++config.self.incarnation;
            next.disks[at] = {};
        }
        next.members[at] = *makeReplica(config, next.disks[at], next.members[at].now);
        return next;
    }

    int m_depth;
    /// Hashes of the states seen, with the length of the shortest path to each.
    std::unordered_map<std::size_t, int> m_seen;
};

group_state start(
    const std::array<persisted_state, memberCount>& disks, const event_budget& remaining, bool hasDisks = true)
{
    membership members;
    for (int id = 1; id <= memberCount; ++id)
        members.voters.push_back({ member_id(id), 1, hasDisks });
    group_state first;
    first.disks = disks;
    first.remaining = remaining;
    for (int at = 0; at < memberCount; ++at) {
        replica_config config;
        config.self = members.voters[at];
        config.initialMembership = members;
        config.maxAppendBytes = 0;
        first.members[at] = *makeReplica(config, disks[at], log_time {});
    }
    return first;
}

log_entry entry(std::uint64_t index, std::uint64_t term) { return { index, term, entry_kind::Data, "x" }; }

} // namespace

// Guards against two leaders in a term or a lost entry in any order of a few messages, elections and crashes, some of
// which random histories may miss.
Test(exhaustive, newGroup)
{
    state_search search(9);
    search.explore(start({}, { 2, 1, 1 }));
    cr_assert_gt(search.states(), 10'000);
}

// Guards against the commit of entries of older terms and against elections of members with older logs: two members
// hold different uncommitted entries at the same index.
Test(exhaustive, divergedLogs)
{
    const persisted_state first { { 3, std::nullopt }, std::nullopt, { entry(1, 1), entry(2, 2) } };
    const persisted_state second { { 2, std::nullopt }, std::nullopt, { entry(1, 1) } };
    const persisted_state third { { 3, member_id { 3 } }, std::nullopt, { entry(1, 1), entry(2, 3) } };
    state_search search(13);
    search.explore(start({ first, second, third }, { 2, 0, 0 }));
    cr_assert_gt(search.states(), 10'000);
}

// Guards against counting votes or acknowledgements of two incarnations of a member as those of one: a member that
// restarts without a disk has lost its earlier votes and entries.
Test(exhaustive, oneRestartWithoutADisk)
{
    state_search search(10);
    search.explore(start({}, { 2, 0, 1 }, false));
    cr_assert_gt(search.states(), 10'000);
}
