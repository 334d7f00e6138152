#include "tests/consensus/fake_group.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

/// Runs a group until it has a leader and one second longer; returns the leader.
int electLeader(fake_group& group)
{
    const auto leader = group.runUntilLeader();
    group.run(1s);
    return leader;
}

int otherThan(int id) { return id == 1 ? 2 : 1; }

message voteRequest(int from, std::uint64_t incarnation, int to, std::uint64_t term)
{
    return { member_id(from), incarnation, member_id(to), term, vote_request { false, false, 100, 100 } };
}

} // namespace

// Guards against a group that elects no leader, or whose followers do not apply what the leader committed.
Test(election, threeMembersElectAndCommit)
{
    fake_group group(1, 3);
    const auto leader = electLeader(group);
    cr_assert(group.propose(leader, "a"));
    group.run(1s);
    cr_assert(group.converged());
    cr_assert_eq(group.committed().rbegin()->second.entry.payload, "a");
    cr_assert_not(group.propose(otherThan(leader), "b"));
}

// Guards against an isolated leader that keeps its role, and against a rejoin that disturbs the new leader: without the
// pre-vote, the isolated member returns with a much higher term.
Test(election, isolatedLeaderStepsDownAndRejoinsWithoutElection)
{
    fake_group group(2, 3);
    const auto oldLeader = electLeader(group);
    group.isolate(oldLeader);
    group.propose(oldLeader, "lost");
    group.run(2s);
    cr_assert(group.status(oldLeader).role != replica_role::Leader);
    const auto successor = group.runUntilLeader();
    cr_assert_neq(successor, oldLeader);
    group.run(600s);
    group.propose(successor, "kept");
    const auto term = group.status(successor).term;
    group.heal();
    group.run(3s);
    cr_assert_eq(group.status(successor).term, term);
    cr_assert(group.leader() == successor);
    cr_assert(group.converged());
}

// Guards against elections that a member forces on a healthy group because its incoming or outgoing link is broken.
Test(election, asymmetricCutsDoNotReplaceTheLeader)
{
    for (const bool incoming : { true, false }) {
        fake_group group(3, 3);
        const auto leader = electLeader(group);
        const auto term = group.status(leader).term;
        const auto follower = otherThan(leader);
        if (incoming)
            group.cut(leader, follower);
        else
            group.cut(follower, leader);
        group.run(60s);
        cr_assert_eq(group.status(leader).term, term);
        cr_assert(group.leader() == leader);
    }
}

// Guards against a leader that can send but not receive and does not step down: its heartbeats would keep the followers
// from electing another leader.
Test(election, leaderThatReceivesNothingIsReplaced)
{
    fake_group group(4, 3);
    const auto oldLeader = electLeader(group);
    for (int id = 1; id <= 3; ++id)
        group.cut(id, oldLeader);
    group.run(5s);
    const auto successor = group.leader();
    cr_assert(successor.has_value() && *successor != oldLeader);
    cr_assert(group.propose(*successor, "a"));
    group.run(1s);
    cr_assert_eq(group.committed().rbegin()->second.entry.payload, "a");
}

// Guards against unknown senders and earlier incarnations that raise the term of a healthy group.
Test(election, unknownSendersAndOldIncarnationsDoNotRaiseTheTerm)
{
    fake_group group(5, 3);
    const auto leader = electLeader(group);
    const auto term = group.status(leader).term;
    for (int id = 1; id <= 3; ++id) {
        group.inject(voteRequest(9, 1, id, term + 50));
        group.inject(voteRequest(otherThan(id), 0, id, term + 50));
        group.inject({ member_id(otherThan(id)), 0, member_id(id), term + 50, append_response { true, 900, 1 } });
        group.inject({ member_id(9), 1, member_id(id), term + 50, append_response { true, 900, 1 } });
        group.inject({ member_id(9), 1, member_id(id), term + 50, vote_response { false, true } });
    }
    group.run(2s);
    cr_assert_eq(group.status(leader).term, term);
    cr_assert(group.leader() == leader);
}

// Guards against a leadership transfer that waits for an election timeout or accepts a proposal that it then loses.
Test(election, transferCompletesWithinAFewMessages)
{
    fake_group group(6, 3);
    const auto oldLeader = electLeader(group);
    group.propose(oldLeader, "a");
    cr_assert(group.call(oldLeader,
        [](replica& state, log_time now, replica_output& output) { return transferLeadership(state, now, output); }));
    cr_assert_not(group.propose(oldLeader, "refused during the transfer"));
    group.run(100ms);
    const auto successor = group.leader();
    cr_assert(successor.has_value() && *successor != oldLeader);
    cr_assert(group.status(*successor).ready);
}

// Guards against a lease that is held while a transfer request, which overrides it, is still in flight.
Test(election, transferEndsTheLeaseForTheTerm)
{
    fake_group group(7, 3);
    const auto oldLeader = electLeader(group);
    const auto term = group.status(oldLeader).term;
    group.isolate(oldLeader);
    group.call(oldLeader,
        [](replica& state, log_time now, replica_output& output) { return transferLeadership(state, now, output); });
    cr_assert(group.leaseHolders().empty());
    group.heal();
    group.run(5s);
    cr_assert_gt(group.status(group.runUntilLeader()).term, term);
}

// Guards against two leases at once when the leader's clock is slow and the other clocks are fast by the configured
// margin, and against a leader that never holds a lease.
Test(lease, neverHeldTwiceAtTheStatedClockRates)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_group group(seed, 3);
        for (int id = 1; id <= 3; ++id)
            group.member(id).clockRate = id == 1 ? -5 : 4;
        for (int round = 0; round < 4; ++round) {
            electLeader(group);
            cr_assert_eq(group.leaseHolders().size(), 1);
            group.isolate(*group.leader());
            group.run(4s);
            group.heal();
        }
    }
}

// Guards against a member that votes right after a restart while the lease of the current leader counts on it.
Test(lease, survivesTheRestartOfItsSupporters)
{
    fake_group group(8, 3);
    const auto oldLeader = electLeader(group);
    const auto term = group.status(oldLeader).term;
    for (int id = 1; id <= 3; ++id) {
        if (id == oldLeader)
            continue;
        group.crash(id);
        group.restart(id);
        group.run(300ms);
    }
    group.run(3s);
    cr_assert_eq(group.status(oldLeader).term, term);
    cr_assert(group.leader() == oldLeader);
}
