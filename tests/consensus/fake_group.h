#pragma once

#include "chervilport/consensus/replica.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chervilport {

/// What the fake network does to messages.
struct link_faults {
    /// Messages lost and messages delivered twice, in thousandths.
    unsigned dropped = 0;
    unsigned duplicated = 0;
    /// Delay of a message; different delays reorder messages.
    log_duration shortest { std::chrono::microseconds(400) };
    log_duration longest { std::chrono::microseconds(800) };
};

/// A member of the fake group: the replica, its disk and its state machine.
struct fake_member {
    replica_config config;
    /// What is synced; empty after each start without a disk.
    persisted_state disk;
    /// Null while the member is down.
    replica_ptr state;
    /// Outputs that are not synced yet, oldest first.
    std::deque<replica_output> unsynced;
    /// Whether entries were synced that the replica was not told of.
    bool isPersistedPending = false;
    /// Counts starts, so that events of an earlier run are ignored.
    int generation = 0;
    /// Difference of the clock rate, in thousandths.
    int clockRate = 0;
    /// Entries applied, and the state of a state machine that chains them.
    std::uint64_t applied = 0;
    std::uint64_t machineState = 0;
    /// Highest commit index shown since the start.
    std::uint64_t maxCommitIndex = 0;
    /// Snapshots installed and entries received since the start.
    int snapshotsInstalled = 0;
    std::uint64_t entriesReceived = 0;
};

/// A committed entry and the state of the state machine after it.
struct committed_record {
    log_entry entry;
    std::uint64_t machineState = 0;
    /// Term in which it was found to be committed; only leaders of later terms must hold it.
    std::uint64_t commitTerm = 0;
};

/// Members that exchange messages over a fake network under a virtual clock. Every step checks the safety properties
/// and throws `std::logic_error` when one is broken.
class fake_group {
public:
    /// Creates members 1 to `count`, all of them voters; those in `diskless` lose their state at a restart. Other
    /// parameters are taken from `base`.
    fake_group(std::uint64_t seed, int count, const std::set<int>& diskless = {}, const replica_config& base = {});

    /// Lets time pass.
    void run(log_duration);
    /// Lets time pass until a leader has committed in its term; returns it. Throws when that takes longer.
    int runUntilLeader(log_duration limit = std::chrono::seconds(20));

    /// Stops a member; what is not synced is lost.
    void crash(int id);
    /// Starts a member again, without a disk under a new incarnation.
    void restart(int id);
    /// Adds a member that is not in the group yet.
    void addInstance(int id, bool hasDisk);

    /// Drops messages in one direction, or from and to a member.
    void cut(int from, int to) { m_cuts.insert({ from, to }); }
    void isolate(int id);
    void heal() { m_cuts.clear(); }

    /// Proposes at a member; returns the index if it is leader.
    std::optional<std::uint64_t> propose(int id, std::string payload);
    /// Calls a function of the replica that fills an output, and carries the output out.
    template <typename Call> auto call(int id, Call function)
    {
        replica_output output;
        auto result = function(*member(id).state, localTime(id), output);
        carryOut(id, std::move(output));
        return result;
    }
    /// Takes a snapshot at the last applied entry.
    void compactAt(int id);
    /// Delivers a message that no member sent.
    void inject(const message&);

    /// The members by number.
    fake_member& member(int id) { return m_members.at(id); }
    replica_status status(int id) { return statusOf(*member(id).state); }
    bool isUp(int id) { return member(id).state != nullptr; }
    /// The member that leads the highest term, if any.
    std::optional<int> leader();
    /// Time by the member's own clock.
    log_time localTime(int id);
    /// Members that claim a lease now.
    std::vector<int> leaseHolders();
    /// Committed entries by index.
    const std::map<std::uint64_t, committed_record>& committed() const { return m_committed; }
    /// Whether a member holds this incarnation of another one for a voter.
    bool isVoter(int at, int id, std::uint64_t incarnation);
    /// Whether all members that are up have applied the same and all committed entries.
    bool converged();

    link_faults faults;
    /// Longest time until an output is synced.
    log_duration syncDelay { 0 };
    /// Sees every message that is sent.
    std::function<void(const message&)> observer;

private:
    void start(int id);
    void scheduleTick(int id);
    void carryOut(int id, replica_output);
    void syncOldest(int id);
    void transmit(const message&);
    void deliver(const message&);
    void apply(int id, const log_entry&);
    void checkMember(int id);
    void checkLogs();
    unsigned draw(unsigned bound) { return static_cast<unsigned>(m_random() % bound); }

    std::mt19937_64 m_random;
    log_time m_now {};
    std::multimap<log_time, std::function<void()>> m_events;
    std::map<int, fake_member> m_members;
    std::set<std::pair<int, int>> m_cuts;
    std::map<std::uint64_t, committed_record> m_committed;
    /// Leader of each term, with its incarnation.
    std::map<std::uint64_t, std::pair<int, std::uint64_t>> m_leaders;
};

} // namespace chervilport
