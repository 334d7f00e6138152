#include "chervilport/consensus/replica.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr log_time electedAt { 10s };
constexpr log_duration electionTimeout = 1000ms;

/// Configuration of member 1 of three.
replica_config firstOfThree()
{
    replica_config config;
    config.self = { member_id { 1 }, 1, true };
    config.initialMembership.voters = { config.self, { member_id { 2 }, 1, true }, { member_id { 3 }, 1, true } };
    config.electionTimeout = electionTimeout;
    return config;
}

message fromSecond(std::uint64_t term, decltype(message::body) body)
{
    return { member_id { 2 }, 1, member_id { 1 }, term, std::move(body) };
}

/// Returns member 1 as leader, elected by member 2 in the term after the stored one.
replica_ptr electedLeader(const persisted_state& stored = {})
{
    auto state = makeReplica(firstOfThree(), stored, log_time {});
    const auto term = stored.hardState.term + 1;
    tick(*state, electedAt);
    receive(*state, fromSecond(term, vote_response { true, true }), electedAt);
    receive(*state, fromSecond(term, vote_response { false, true }), electedAt);
    cr_assert(statusOf(*state).role == replica_role::Leader);
    return state;
}

log_entry dataEntry(std::uint64_t index, std::uint64_t term) { return { index, term, entry_kind::Data, "x" }; }

bool grantsVote(replica& state, std::uint64_t term, log_time now)
{
    for (const auto& sent : receive(state, fromSecond(term, vote_request { false, false, 100, 100 }), now).messages) {
        if (const auto* vote = std::get_if<vote_response>(&sent.body))
            return vote->granted;
    }
    return false;
}

} // namespace

// Guards against a leader that counts itself for an entry that is not synced to its disk yet.
Test(replica, leaderCountsItselfOnlyWhenSynced)
{
    const auto state = electedLeader();
    receive(*state, fromSecond(1, append_response { true, 1, 1 }), electedAt);
    cr_assert_eq(statusOf(*state).commitIndex, 0);
    cr_assert_eq(persisted(*state, electedAt).committed.size(), 1);
}

// Guards against committing an entry of an older term because a majority has it: a leader of a later term could still
// overwrite it.
Test(replica, olderTermsAreCommittedOnlyThroughTheOwnTerm)
{
    const auto state = electedLeader({ { 3, member_id { 1 } }, std::nullopt, { dataEntry(1, 1), dataEntry(2, 2) } });
    persisted(*state, electedAt);
    receive(*state, fromSecond(4, append_response { true, 2, 1 }), electedAt);
    cr_assert_eq(statusOf(*state).commitIndex, 0);
    receive(*state, fromSecond(4, append_response { true, 3, 1 }), electedAt);
    cr_assert_eq(statusOf(*state).commitIndex, 3);
}

// Guards against a lease that outlasts the time for which a follower with a clock faster by the margin refuses votes,
// and against a lease that starts when the response arrives instead of when the round was sent.
Test(replica, leaseEndsBeforeTheFastestFollowerMayVote)
{
    const auto state = electedLeader();
    cr_assert_not(holdsLease(*state, electedAt));
    receive(*state, fromSecond(1, append_response { true, 1, 1 }), electedAt + 400ms);
    cr_assert(holdsLease(*state, electedAt + 989ms));
    cr_assert_not(holdsLease(*state, electedAt + 990ms));
}

// Guards against a follower that votes while a leader may hold a lease, also right after a restart.
Test(replica, followerRefusesVotesForAnElectionTimeout)
{
    const auto state = makeReplica(firstOfThree(), {}, electedAt);
    cr_assert_not(grantsVote(*state, 5, electedAt + electionTimeout - 1us));
    cr_assert_eq(statusOf(*state).term, 0);
    const auto contactTime = electedAt + electionTimeout;
    receive(*state, fromSecond(1, append_request {}), contactTime);
    cr_assert_not(grantsVote(*state, 5, contactTime + electionTimeout - 1us));
    cr_assert(grantsVote(*state, 5, contactTime + electionTimeout));
}

// Guards against a vote of an incarnation that is not admitted: the member may have lost the record of its vote in that
// term.
Test(replica, newIncarnationDoesNotVote)
{
    auto config = firstOfThree();
    config.self.incarnation = 2;
    const auto state = makeReplica(config, {}, log_time {});
    receive(*state, fromSecond(1, append_request {}), log_time {});
    cr_assert_not(grantsVote(*state, 5, electedAt));
    cr_assert_eq(statusOf(*state).term, 1);
}

// Guards against a late snapshot that drops later entries which this member has acknowledged.
Test(replica, snapshotOfStoredEntriesKeepsTheLog)
{
    const auto config = firstOfThree();
    const auto state = makeReplica(config, {}, log_time {});
    receive(*state, fromSecond(1, append_request { 0, 0, 0, 1, { dataEntry(1, 1), dataEntry(2, 1) } }), log_time {});
    const auto output = receive(
        *state, fromSecond(1, snapshot_request { { 1, 1, config.initialMembership, "state" }, 1 }), log_time {});
    cr_assert_not(output.installedSnapshot.has_value());
    cr_assert_eq(output.committed.size(), 1);
    cr_assert_eq(statusOf(*state).lastIndex, 2);
}

// Guards against a gap in the stored log that would shift every entry after it.
Test(replica, storedLogWithAGapIsRefused)
{
    cr_assert_any_throw(makeReplica({}, { {}, std::nullopt, { dataEntry(1, 1), dataEntry(3, 1) } }, log_time {}));
}
