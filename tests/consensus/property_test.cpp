#include "tests/consensus/fake_group.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

/// Event of one step of a history.
enum class event_kind {
    Propose,
    Crash,
    Restart,
    Cut,
    Isolate,
    Heal,
    Transfer,
    Compact,
    AddVoter,
    AddLearner,
    Remove,
    Pass,
};

struct history_event {
    event_kind kind;
    int target;
    int other;
    int milliseconds;
};

std::ostream& operator<<(std::ostream& out, const history_event& event)
{
    return out << '{' << static_cast<int>(event.kind) << ',' << event.target << ',' << event.other << ','
               << event.milliseconds << '}';
}

rc::Gen<std::vector<history_event>> histories(int members)
{
    const auto event = rc::gen::construct<history_event>(
        rc::gen::map(rc::gen::inRange(0, 12), [](int kind) { return static_cast<event_kind>(kind); }),
        rc::gen::inRange(1, members + 1), rc::gen::inRange(1, members + 1), rc::gen::inRange(0, 1500));
    return rc::gen::container<std::vector<history_event>>(event);
}

/// Returns whether all members are running and admitted as voters, and all entries of the leader are committed.
bool isHealthy(fake_group& group, int members)
{
    const auto leader = group.leader();
    if (!leader)
        return false;
    const auto now = group.status(*leader);
    bool healthy = now.ready && now.commitIndex == now.lastIndex;
    for (int id = 1; id <= members; ++id)
        healthy = healthy && group.isUp(id) && group.isVoter(*leader, id, group.member(id).config.self.incarnation);
    return healthy;
}

void changeMembers(fake_group& group, const history_event& event)
{
    const auto leader = group.leader();
    if (!leader)
        return;
    group.call(*leader, [&](replica& state, log_time now, replica_output& output) {
        const auto& target = group.member(event.target).config.self;
        if (event.kind == event_kind::Remove)
            return removeMember(state, target.id, now, output);
        return changeMember(state, target, event.kind == event_kind::AddVoter, now, output);
    });
}

void applyEvent(fake_group& group, const history_event& event, int members, bool diskless)
{
    switch (event.kind) {
    case event_kind::Propose:
        for (int id = 1; id <= members; ++id) {
            if (group.isUp(id))
                group.propose(id, "by " + std::to_string(id));
        }
        break;
    case event_kind::Crash:
        if (group.isUp(event.target) && (!diskless || isHealthy(group, members)))
            group.crash(event.target);
        break;
    case event_kind::Restart:
        if (!group.isUp(event.target))
            group.restart(event.target);
        break;
    case event_kind::Cut:
        group.cut(event.target, event.other);
        break;
    case event_kind::Isolate:
        group.isolate(event.target);
        break;
    case event_kind::Heal:
        group.heal();
        break;
    case event_kind::Transfer:
        if (group.isUp(event.target))
            group.call(event.target, [](replica& state, log_time now, replica_output& output) {
                return transferLeadership(state, now, output);
            });
        break;
    case event_kind::Compact:
        if (group.isUp(event.target))
            group.compactAt(event.target);
        break;
    case event_kind::AddVoter:
    case event_kind::AddLearner:
    case event_kind::Remove:
        if (!diskless || event.kind == event_kind::AddVoter || isHealthy(group, members))
            changeMembers(group, event);
        break;
    case event_kind::Pass:
        break;
    }
    group.run(std::chrono::milliseconds(event.milliseconds));
}

/// Runs a random history; the group checks the safety properties at every step. Then all faults are removed and all
/// members are started, and the group must elect a leader, commit an entry and have exactly one lease holder.
void checkHistory(int members, bool diskless)
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    std::set<int> withoutDisk;
    for (int id = 1; diskless && id <= members; ++id)
        withoutDisk.insert(id);
    replica_config config;
    config.retainedEntries = 2;
    config.maxAppendBytes = 20;
    config.maxInFlightAppends = 2;
    fake_group group(seed, members, withoutDisk, config);
    for (int id = 1; id <= members; ++id)
        group.member(id).clockRate = *rc::gen::inRange(-5, 5);
    group.faults = { *rc::gen::inRange(0u, 200u), *rc::gen::inRange(0u, 200u), 400us,
        std::chrono::milliseconds(*rc::gen::inRange(1, 400)) };
    if (!diskless)
        group.maxSyncDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 30));
    for (const auto& event : *histories(members))
        applyEvent(group, event, members, diskless);

    group.heal();
    group.faults = {};
    for (int id = 1; id <= members; ++id) {
        if (!group.isUp(id))
            group.restart(id);
    }
    group.run(5s);
    const auto leader = group.runUntilLeader();
    RC_ASSERT(group.propose(leader, "last").has_value());
    group.run(3s);
    RC_ASSERT(group.committed().rbegin()->second.entry.payload == "last");
    RC_ASSERT(group.leaseHolders().size() == 1U);
}

} // namespace

// Guards against violations of the safety properties (one leader per term, log matching, no committed entry lost, equal
// state machines, monotonic commit index, one lease holder) under any mix of faults, restarts and membership changes,
// and against a group that does not recover.
Test(properties, threeMembersWithDisks)
{
    cr_assert(rc::check([] { checkHistory(3, false); }));
}

// Guards against the same failures with quorums of three.
Test(properties, fiveMembersWithDisks)
{
    cr_assert(rc::check([] { checkHistory(5, false); }));
}

// Guards against the same failures when a restart loses the state of a member, one member at a time.
Test(properties, membersWithoutDisksThatAreLostOneAtATime)
{
    cr_assert(rc::check([] { checkHistory(3, true); }));
}
