#include "chervilport/consensus/membership_codec.h"
#include "chervilport/consensus/restored_group.h"
#include "tests/consensus/fake_group.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

bool change(fake_group& group, int at, const member& changed, bool asVoter)
{
    return group.call(at, [&](replica& state, log_time now, replica_output& output) {
        return changeMember(state, changed, asVoter, now, output);
    });
}

bool remove(fake_group& group, int at, int id)
{
    return group.call(at, [id](replica& state, log_time now, replica_output& output) {
        return removeMember(state, member_id(id), now, output);
    });
}

bool isVoter(fake_group& group, int at, int id, std::uint64_t incarnation = 1)
{
    return group.isVoter(at, id, incarnation);
}

int otherThan(int id, int another = 0)
{
    for (int other = 1;; ++other) {
        if (other != id && other != another)
            return other;
    }
}

/// Proposes an entry and returns whether it is committed within a second.
bool commits(fake_group& group, int at)
{
    const auto index = group.propose(at, "probe");
    group.run(1s);
    return index && group.committed().contains(*index);
}

} // namespace

// Guards against fields that are lost or changed in the encoding, and against malformed encodings that are accepted.
Test(membership, codecKeepsEveryField)
{
    const membership members { { { member_id { 1 }, 7, true, false } },
        { { member_id { 300 }, 1ULL << 60, false, true } } };
    cr_assert(decodeMembership(encodeMembership(members)) == members);
    cr_assert_any_throw(decodeMembership(encodeMembership(members).substr(1)));
    cr_assert_any_throw(decodeMembership(encodeMembership(members) + "x"));
}

// Guards against a new member that counts as voter before it has the log, and against a learner that counts at all.
Test(membership, newMembersAreLearnersFirst)
{
    fake_group group(21, 1);
    group.run(100ms);
    group.propose(1, "a");
    group.addInstance(2, true);
    group.addInstance(3, true);
    cr_assert(change(group, 1, { member_id { 2 }, 1, true }, true));
    cr_assert_not(isVoter(group, 1, 2));
    group.run(2s);
    cr_assert(isVoter(group, 1, 2));
    cr_assert(change(group, 1, { member_id { 3 }, 1, true }, false));
    group.run(2s);
    cr_assert_not(isVoter(group, 1, 3));
    cr_assert(group.converged());
    group.crash(3);
    cr_assert(commits(group, 1));
    group.crash(2);
    cr_assert_not(commits(group, 1));
}

// Guards against a change that a new leader makes before an entry of its term is committed: it cannot tell yet which
// change its predecessor committed.
Test(membership, changeWaitsForACommitOfTheOwnTerm)
{
    fake_group group(22, 3);
    const auto first = group.runUntilLeader();
    group.run(1s);
    group.isolate(first);
    group.maxSyncDelay = 100ms;
    int refused = 0;
    group.observer = [&](const message&) {
        const auto leader = group.leader();
        if (leader && !group.status(*leader).ready) {
            replica_output output;
            const auto now = group.localTime(*leader);
            cr_assert_not(removeMember(*group.member(*leader).state, member_id(otherThan(*leader)), now, output));
            ++refused;
        }
    };
    group.run(4s);
    cr_assert_gt(refused, 0);
}

// Guards against a second change before the first one is committed, and against a change that stays in effect although
// its entry was overwritten.
Test(membership, uncommittedChangeIsRolledBack)
{
    fake_group group(23, 3);
    const auto oldLeader = group.runUntilLeader();
    group.run(1s);
    group.isolate(oldLeader);
    cr_assert(remove(group, oldLeader, otherThan(oldLeader)));
    cr_assert_not(remove(group, oldLeader, otherThan(oldLeader, otherThan(oldLeader))));
    cr_assert_eq(group.status(oldLeader).members.voters.size(), 2);
    group.run(4s);
    const auto successor = group.runUntilLeader();
    cr_assert(commits(group, successor));
    group.heal();
    group.run(3s);
    cr_assert_eq(group.status(oldLeader).members.voters.size(), 3);
    cr_assert(group.converged());
}

// Guards against a removed leader that does not step down, and a removed member that starts elections.
Test(membership, removedLeaderTransfersLeadershipAndStartsNoElection)
{
    fake_group group(24, 3);
    const auto oldLeader = group.runUntilLeader();
    group.run(1s);
    cr_assert(remove(group, oldLeader, oldLeader));
    group.run(200ms);
    const auto successor = group.leader();
    cr_assert(successor.has_value() && *successor != oldLeader);
    cr_assert_eq(group.status(*successor).members.voters.size(), 2);
    const auto term = group.status(*successor).term;
    group.run(10s);
    cr_assert_eq(group.status(*successor).term, term);
    cr_assert(group.status(oldLeader).role == replica_role::Learner);
}

// Guards against a change that is lost or applied twice while messages are lost.
Test(membership, changesCompleteUnderLoss)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fake_group group(seed, 3);
        group.runUntilLeader();
        group.addInstance(4, true);
        group.faults = { 200, 100, 400us, 20ms };
        bool added = false;
        bool removed = false;
        for (int i = 0; i < 300 && !removed; ++i) {
            const auto leader = group.runUntilLeader();
            added = added || isVoter(group, leader, 4);
            if (!added)
                change(group, leader, { member_id { 4 }, 1, true }, true);
            else if (isVoter(group, leader, 1))
                remove(group, leader, 1);
            else
                removed = true;
            group.run(100ms);
        }
        cr_assert(removed);
        group.faults = {};
        group.run(5s);
        cr_assert_eq(group.status(group.runUntilLeader()).members.voters.size(), 3);
    }
}

// Guards against counting a member that has lost its state before it is admitted again, and against never admitting it.
Test(diskless, restartedMemberIsAdmittedAgain)
{
    fake_group group(25, 3, { 1, 2, 3 });
    const auto leader = group.runUntilLeader();
    const auto crashed = otherThan(leader);
    group.run(1s);
    group.crash(crashed);
    group.run(500ms);
    group.crash(otherThan(leader, crashed));
    group.restart(crashed);
    cr_assert_not(commits(group, leader), "the new incarnation was counted");
    group.restart(otherThan(leader, crashed));
    group.run(20s);
    cr_assert_not(group.leader().has_value(), "two of three lost the log");
}

// Guards against a member that stays a learner after a restart, over many restarts with hundreds of missing entries
// each.
Test(diskless, survivesARestartOfEachMemberInTurn)
{
    fake_group group(26, 3, { 1, 2, 3 });
    group.runUntilLeader();
    for (int round = 0; round < 9; ++round) {
        const auto id = round % 3 + 1;
        group.crash(id);
        const auto leader = group.runUntilLeader();
        for (int i = 0; i < 300; ++i)
            group.propose(leader, "entry " + std::to_string(i));
        group.run(1s);
        group.compactAt(leader);
        group.restart(id);
        group.run(2s);
        cr_assert(isVoter(group, leader, id, group.member(id).config.self.incarnation));
        cr_assert(group.converged());
    }
}

// Guards against a group that stops or loses an entry when another member crashes right after a restarted one was
// admitted again.
Test(diskless, survivesASecondLossRightAfterARepair)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_group group(seed, 3, { 1, 2, 3 });
        const auto first = group.runUntilLeader();
        cr_assert(commits(group, first));
        const auto crashed = otherThan(first);
        group.crash(crashed);
        group.restart(crashed);
        for (int i = 0; i < 1000 && !isVoter(group, first, crashed, 2); ++i)
            group.run(1ms);
        group.crash(first);
        group.run(5s);
        const auto second = group.runUntilLeader();
        cr_assert(commits(group, second));
        group.restart(first);
        group.run(3s);
        cr_assert(isVoter(group, second, first, 2));
        cr_assert(group.converged());
    }
}

// Guards against a leader that steps down although the only other voter has restarted and can be admitted again.
Test(diskless, leaderWithADiskSurvivesARestartOfTheOtherVoter)
{
    fake_group group(27, 2, { 2 });
    while (group.runUntilLeader() != 1) {
        group.call(2, [](replica& state, log_time now, replica_output& output) {
            return transferLeadership(state, now, output);
        });
        group.run(1s);
    }
    group.crash(2);
    group.restart(2);
    group.run(2s);
    cr_assert(isVoter(group, 1, 2, 2));
    cr_assert(commits(group, 1));
}

// Guards against a restore that does not report a possible loss, and a restored group that does not commit or does not
// admit the other members again.
Test(diskless, operatorRestoresAGroupFromTheOnlyDisk)
{
    fake_group group(28, 3, { 2, 3 });
    const auto leader = group.runUntilLeader();
    cr_assert(commits(group, leader));
    const auto held = group.committed().size();
    for (int id = 1; id <= 3; ++id)
        group.crash(id);
    for (int id = 1; id <= 3; ++id)
        group.restart(id);
    group.run(20s);
    cr_assert_not(group.leader().has_value());

    group.crash(1);
    const auto restored = restoreFromDisk(group.member(1).disk, group.member(1).config.self);
    cr_assert(restored.entriesMayBeMissing);
    cr_assert_eq(restored.droppedVoters.size(), 2);
    cr_assert_eq(restored.lastIndex, held);
    group.member(1).disk = restored.state;
    group.restart(1);
    group.run(5s);
    cr_assert(group.leader() == 1);
    cr_assert_eq(group.status(1).members.voters.size(), 3);
    cr_assert(group.converged());
    group.crash(2);
    cr_assert(commits(group, 1));
}
