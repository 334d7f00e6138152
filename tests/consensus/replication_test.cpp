#include "tests/consensus/fake_group.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr int proposals = 300;

/// Proposes an entry every 20 ms at the current leader.
void proposeMany(fake_group& group, int count)
{
    for (int i = 0; i < count; ++i) {
        if (const auto leader = group.leader())
            group.propose(*leader, "entry " + std::to_string(i));
        group.run(20ms);
    }
}

std::size_t entriesIn(const message& sent)
{
    const auto* append = std::get_if<append_request>(&sent.body);
    return append ? append->entries.size() : 0;
}

int followerOf(int leader) { return leader == 3 ? 1 : leader + 1; }

} // namespace

// Guards against lost, repeated or reordered entries on a network that loses, duplicates, delays and reorders messages.
Test(replication, survivesLossDuplicationAndReordering)
{
    fake_group group(11, 3);
    group.runUntilLeader();
    group.faults = { 100, 100, 400us, 60ms };
    group.maxSyncDelay = 5ms;
    proposeMany(group, proposals);
    group.faults = {};
    group.run(5s);
    cr_assert(group.converged());
    cr_assert_gt(group.committed().size(), proposals / 2);
}

// Guards against sending a member that lags far behind all entries although a snapshot covers them.
Test(replication, memberFarBehindGetsASnapshotAndTheRest)
{
    replica_config config;
    config.retainedEntries = 20;
    fake_group group(12, 3, {}, config);
    const auto leader = group.runUntilLeader();
    const auto lagging = followerOf(leader);
    group.crash(lagging);
    proposeMany(group, proposals);
    group.compactAt(leader);
    proposeMany(group, 10);
    group.restart(lagging);
    group.run(3s);
    cr_assert(group.converged());
    cr_assert_eq(group.member(lagging).snapshotsInstalled, 1);
    cr_assert_lt(group.member(lagging).entriesReceived, 20);
}

// Guards against sending a snapshot to a member that lacks only entries which the leader has retained.
Test(replication, memberAFewEntriesBehindGetsNoSnapshot)
{
    fake_group group(13, 3);
    const auto leader = group.runUntilLeader();
    const auto lagging = followerOf(leader);
    group.crash(lagging);
    proposeMany(group, 100);
    group.compactAt(leader);
    group.restart(lagging);
    group.run(3s);
    cr_assert(group.converged());
    cr_assert_eq(group.member(lagging).snapshotsInstalled, 0);
    cr_assert_eq(group.member(lagging).entriesReceived, 100);
}

// Guards against a leader that sends many entries to an unresponsive member, and against heartbeats with entries.
Test(replication, unresponsiveMemberIsProbedAndIdleHeartbeatsAreEmpty)
{
    fake_group group(14, 3);
    const auto leader = group.runUntilLeader();
    const auto unresponsive = followerOf(leader);
    group.crash(unresponsive);
    std::size_t entriesToUnresponsive = 0;
    std::size_t messagesToUnresponsive = 0;
    group.observer = [&](const message& sent) {
        if (sent.to != member_id(unresponsive))
            return;
        entriesToUnresponsive += entriesIn(sent);
        ++messagesToUnresponsive;
    };
    proposeMany(group, proposals);
    cr_assert_leq(entriesToUnresponsive, 8);
    cr_assert_leq(messagesToUnresponsive, 8 + 6000 / 300 + 1);

    std::size_t idleEntries = 0;
    std::size_t idleMessages = 0;
    group.observer = [&](const message& sent) {
        idleEntries += entriesIn(sent);
        ++idleMessages;
    };
    group.run(3s);
    cr_assert_eq(idleEntries, 0);
    cr_assert_leq(idleMessages, 10 * 3 + 1);
}

// Guards against one message per entry to a member that responds slowly: entries beyond the limit of requests in flight
// are batched.
Test(replication, entriesBeyondTheWindowAreBatched)
{
    fake_group group(15, 3);
    const auto leader = group.runUntilLeader();
    group.faults = { 0, 0, 100ms, 100ms };
    std::size_t messages = 0;
    group.observer = [&](const message& sent) { messages += entriesIn(sent) > 0 ? 1 : 0; };
    for (int i = 0; i < 100; ++i)
        group.propose(leader, "entry " + std::to_string(i));
    group.run(3s);
    cr_assert(group.converged());
    cr_assert_leq(messages, 2 * (8 + 3));
}
