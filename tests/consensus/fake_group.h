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

/// Faults of the fake network.
struct link_faults {
    /// Rate of lost messages, in thousandths.
    unsigned dropped = 0;
    /// Rate of messages delivered twice, in thousandths.
    unsigned duplicated = 0;
    /// Bounds of the random delay of a message; different delays reorder messages.
    log_duration minDelay { std::chrono::microseconds(400) };
    log_duration maxDelay { std::chrono::microseconds(800) };
};

/// A member of the fake group: replica, disk and state machine.
struct fake_member {
    replica_config config;
    /// Synced state; empty after a start of a member without a disk.
    persisted_state disk;
    /// Null while the member is down.
    replica_ptr state;
    /// Outputs that are not synced yet, oldest first.
    std::deque<replica_output> unsynced;
    /// Whether entries were synced and `persisted` has not been called since.
    bool isPersistedCallPending = false;
    /// Counts starts and crashes, so that events of an earlier run are ignored.
    int generation = 0;
    /// Difference of the clock rate, in thousandths.
    int clockRate = 0;
    /// Index of the last applied entry.
    std::uint64_t applied = 0;
    /// State of the state machine: a hash over all applied entries.
    std::uint64_t machineState = 0;
    /// Highest commit index reported since the start.
    std::uint64_t maxCommitIndex = 0;
    /// Number of snapshots installed since the start.
    int snapshotsInstalled = 0;
    /// Number of entries appended since the start.
    std::uint64_t entriesReceived = 0;
};

/// A committed entry and the state of the state machine after it.
struct committed_record {
    log_entry entry;
    std::uint64_t machineState = 0;
    /// Term of the member that first applied the entry; leaders of later terms must have the entry.
    std::uint64_t commitTerm = 0;
};

/// Members that exchange messages over a fake network with a virtual clock. Every step checks the safety properties and
/// throws `std::logic_error` when one is violated.
class fake_group {
public:
    /// Creates members 1 to `count`, all voters. Members in `diskless` lose their state at a restart. Other parameters
    /// are copied from `base`.
    fake_group(std::uint64_t seed, int count, const std::set<int>& diskless = {}, const replica_config& base = {});

    /// Advances the time and runs the events that are due.
    void run(log_duration);
    /// Runs until a leader has committed in its term and returns it. Throws when that takes longer than `limit`.
    int runUntilLeader(log_duration limit = std::chrono::seconds(20));

    /// Stops a member. Unsynced state is lost.
    void crash(int id);
    /// Starts a member again; a member without a disk gets a new incarnation.
    void restart(int id);
    /// Starts an instance that is not a member of the group yet.
    void addInstance(int id, bool hasDisk);

    /// Drops messages in one direction from now on.
    void cut(int from, int to) { m_cuts.insert({ from, to }); }
    /// Drops messages from and to a member from now on.
    void isolate(int id);
    /// Removes all cuts.
    void heal() { m_cuts.clear(); }

    /// Proposes an entry at a member. Returns the index if the member is leader.
    std::optional<std::uint64_t> propose(int id, std::string payload);
    /// Calls a function that fills an output of the replica, and processes the output.
    template <typename Call> auto call(int id, Call function)
    {
        replica_output output;
        auto result = function(*member(id).state, localTime(id), output);
        processOutput(id, std::move(output));
        return result;
    }
    /// Takes a snapshot at the last applied entry.
    void compactAt(int id);
    /// Delivers a message that no member sent.
    void inject(const message&);

    /// Returns the member with this id.
    fake_member& member(int id) { return m_members.at(id); }
    replica_status status(int id) { return statusOf(*member(id).state); }
    bool isUp(int id) { return member(id).state != nullptr; }
    /// Returns the leader of the highest term, if any.
    std::optional<int> leader();
    /// Returns the time of the member's clock.
    log_time localTime(int id);
    /// Returns the members that hold a lease now.
    std::vector<int> leaseHolders();
    /// Returns the committed entries by index.
    const std::map<std::uint64_t, committed_record>& committed() const { return m_committed; }
    /// Returns whether this incarnation of member `id` is a voter in the membership of member `at`.
    bool isVoter(int at, int id, std::uint64_t incarnation);
    /// Returns whether all running members have applied all committed entries.
    bool converged();

    link_faults faults;
    /// Maximum time until an output is synced.
    log_duration maxSyncDelay { 0 };
    /// Called with every message that is sent.
    std::function<void(const message&)> observer;

private:
    void start(int id);
    void scheduleTick(int id);
    void processOutput(int id, replica_output);
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
