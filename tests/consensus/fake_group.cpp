#include "tests/consensus/fake_group.h"

#include "chervilport/consensus/replica_state.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace chervilport {

namespace {

    constexpr log_duration tickInterval = std::chrono::milliseconds(50);
    constexpr log_duration logCheckInterval = std::chrono::milliseconds(500);

    void require(bool holds, const std::string& property)
    {
        if (!holds)
            throw std::logic_error(property);
    }

    std::uint64_t chainState(std::uint64_t machineState, const log_entry& entry)
    {
        return (machineState ^ std::hash<std::string> {}(entry.payload)) * 0x100000001b3ULL + entry.term;
    }

    void store(persisted_state& disk, const replica_output& output)
    {
        if (output.hardState)
            disk.hardState = *output.hardState;
        if (output.installedSnapshot) {
            disk.lastSnapshot = output.installedSnapshot;
            disk.entries.clear();
        }
        for (const auto& entry : output.appended) {
            std::erase_if(disk.entries, [&entry](const log_entry& held) { return held.index >= entry.index; });
            disk.entries.push_back(entry);
        }
    }

} // namespace

fake_group::fake_group(std::uint64_t seed, int count, const std::set<int>& diskless, const replica_config& base)
    : m_random(seed)
{
    membership initial;
    for (int id = 1; id <= count; ++id)
        initial.voters.push_back({ member_id(id), 1, !diskless.contains(id) });
    for (const auto& voter : initial.voters) {
        auto& created = m_members[static_cast<int>(voter.id)];
        created.config = base;
        created.config.self = voter;
        created.config.initialMembership = initial;
        created.config.seed = seed;
        start(static_cast<int>(voter.id));
    }
}

void fake_group::addInstance(int id, bool hasDisk)
{
    auto& created = m_members[id];
    created.config.self = { member_id(id), 1, hasDisk };
    start(id);
}

void fake_group::start(int id)
{
    auto& started = member(id);
    ++started.generation;
    started.unsynced.clear();
    started.isPersistedCallPending = false;
    started.snapshotsInstalled = 0;
    started.entriesReceived = 0;
    started.applied = started.disk.lastSnapshot ? started.disk.lastSnapshot->index : 0;
    started.machineState = started.disk.lastSnapshot ? std::stoull(started.disk.lastSnapshot->data) : 0;
    started.maxCommitIndex = started.applied;
    started.state = makeReplica(started.config, started.disk, localTime(id));
    scheduleTick(id);
}

void fake_group::crash(int id)
{
    member(id).state.reset();
    ++member(id).generation;
}

void fake_group::restart(int id)
{
    auto& restarted = member(id);
    if (!restarted.config.self.hasDisk) {
        restarted.disk = {};
        ++restarted.config.self.incarnation;
    }
    start(id);
}

void fake_group::isolate(int id)
{
    for (const auto& [other, unused] : m_members) {
        cut(id, other);
        cut(other, id);
    }
}

log_time fake_group::localTime(int id)
{
    // The clocks of the members have different origins and rates.
    const auto elapsed = m_now.time_since_epoch();
    return log_time { elapsed + elapsed * member(id).clockRate / 1000 + std::chrono::hours(id) };
}

void fake_group::scheduleTick(int id)
{
    const auto generation = member(id).generation;
    m_events.emplace(m_now + tickInterval, [this, id, generation] {
        if (member(id).generation != generation)
            return;
        processOutput(id, tick(*member(id).state, localTime(id)));
        scheduleTick(id);
    });
}

void fake_group::run(log_duration time)
{
    const auto end = m_now + time;
    auto nextLogCheck = m_now + logCheckInterval;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        m_now = m_events.begin()->first;
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
        require(leaseHolders().size() <= 1, "two members hold the lease");
        if (m_now >= nextLogCheck) {
            checkLogs();
            nextLogCheck = m_now + logCheckInterval;
        }
    }
    m_now = end;
    checkLogs();
}

int fake_group::runUntilLeader(log_duration limit)
{
    const auto end = m_now + limit;
    while (m_now < end) {
        run(tickInterval);
        const auto found = leader();
        if (found && status(*found).ready)
            return *found;
    }
    throw std::logic_error("no leader within the limit");
}

void fake_group::processOutput(int id, replica_output output)
{
    auto& owner = member(id);
    owner.entriesReceived += output.appended.size();
    owner.unsynced.push_back(std::move(output));
    checkMember(id);
    const auto delay
        = maxSyncDelay.count() > 0 ? log_duration(draw(static_cast<unsigned>(maxSyncDelay.count()))) : maxSyncDelay;
    const auto generation = owner.generation;
    if (delay.count() == 0 && owner.unsynced.size() == 1) {
        syncOldest(id);
        return;
    }
    m_events.emplace(m_now + delay, [this, id, generation] {
        if (member(id).generation == generation)
            syncOldest(id);
    });
}

void fake_group::syncOldest(int id)
{
    auto& owner = member(id);
    const auto output = std::move(owner.unsynced.front());
    owner.unsynced.pop_front();
    store(owner.disk, output);
    for (const auto& sent : output.messages)
        transmit(sent);
    if (output.installedSnapshot) {
        owner.applied = output.installedSnapshot->index;
        owner.machineState = std::stoull(output.installedSnapshot->data);
        ++owner.snapshotsInstalled;
        require(m_committed.at(owner.applied).machineState == owner.machineState,
            "snapshot differs from the committed entries");
    }
    for (const auto& entry : output.committed)
        apply(id, entry);
    owner.isPersistedCallPending = owner.isPersistedCallPending || !output.appended.empty();
    if (owner.unsynced.empty() && std::exchange(owner.isPersistedCallPending, false))
        processOutput(id, persisted(*owner.state, localTime(id)));
}

void fake_group::transmit(const message& sent)
{
    if (observer)
        observer(sent);
    if (m_cuts.contains({ static_cast<int>(sent.from), static_cast<int>(sent.to) }) || draw(1000) < faults.dropped)
        return;
    const int copies = draw(1000) < faults.duplicated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto spread = static_cast<unsigned>((faults.maxDelay - faults.minDelay).count()) + 1;
        m_events.emplace(m_now + faults.minDelay + log_duration(draw(spread)), [this, sent] { deliver(sent); });
    }
}

void fake_group::deliver(const message& sent)
{
    const auto id = static_cast<int>(sent.to);
    if (m_members.contains(id) && isUp(id))
        processOutput(id, receive(*member(id).state, sent, localTime(id)));
}

void fake_group::inject(const message& sent) { deliver(sent); }

std::optional<std::uint64_t> fake_group::propose(int id, std::string payload)
{
    return call(id, [&payload](replica& state, log_time now, replica_output& output) {
        return chervilport::propose(state, { payload }, now, output);
    });
}

void fake_group::compactAt(int id)
{
    auto& owner = member(id);
    const auto taken = compact(*owner.state, owner.applied, std::to_string(owner.machineState));
    // The disk may lack entries of unsynced outputs.
    if (!owner.unsynced.empty())
        return;
    owner.disk.lastSnapshot = taken;
    std::erase_if(owner.disk.entries, [&taken](const log_entry& entry) { return entry.index <= taken.index; });
}

void fake_group::apply(int id, const log_entry& entry)
{
    auto& owner = member(id);
    require(entry.index == owner.applied + 1, "entries are not applied in order");
    owner.applied = entry.index;
    owner.machineState = chainState(owner.machineState, entry);
    const auto [known, added]
        = m_committed.try_emplace(entry.index, committed_record { entry, owner.machineState, status(id).term });
    require(known->second.entry == entry, "members applied different entries at one index");
    require(known->second.machineState == owner.machineState, "members reached different states");
}

void fake_group::checkMember(int id)
{
    auto& checked = member(id);
    const auto now = statusOf(*checked.state);
    require(now.commitIndex >= checked.maxCommitIndex, "commit index went backwards");
    checked.maxCommitIndex = now.commitIndex;
    if (now.role != replica_role::Leader)
        return;
    const std::pair self { id, checked.config.self.incarnation };
    const auto [known, elected] = m_leaders.try_emplace(now.term, self);
    require(known->second == self, "two leaders in one term");
    if (!elected)
        return;
    for (const auto& [index, record] : m_committed) {
        const auto& log = checked.state->log;
        require(record.commitTerm >= now.term || index <= log.baseIndex || termAt(log, index) == record.entry.term,
            "new leader lacks a committed entry");
    }
}

void fake_group::checkLogs()
{
    for (auto left = m_members.begin(); left != m_members.end(); ++left) {
        for (auto right = std::next(left); right != m_members.end(); ++right) {
            if (!left->second.state || !right->second.state)
                continue;
            const auto& one = left->second.state->log;
            const auto& other = right->second.state->log;
            bool same = false;
            for (auto index = std::min(lastIndex(one), lastIndex(other));
                 index > std::max(one.baseIndex, other.baseIndex); --index) {
                const bool equal = entryAt(one, index) == entryAt(other, index);
                same = same || entryAt(one, index).term == entryAt(other, index).term;
                require(equal || !same, "logs differ before an entry of the same term");
            }
        }
    }
}

std::optional<int> fake_group::leader()
{
    std::optional<int> best;
    for (const auto& [id, candidate] : m_members) {
        if (candidate.state && status(id).role == replica_role::Leader
            && (!best || status(id).term > status(*best).term))
            best = id;
    }
    return best;
}

std::vector<int> fake_group::leaseHolders()
{
    std::vector<int> holders;
    for (const auto& [id, candidate] : m_members) {
        if (candidate.state && holdsLease(*candidate.state, localTime(id)))
            holders.push_back(id);
    }
    return holders;
}

bool fake_group::isVoter(int at, int id, std::uint64_t incarnation)
{
    const auto voters = status(at).members.voters;
    return std::any_of(voters.begin(), voters.end(), [&](const chervilport::member& voter) {
        return voter.id == member_id(id) && voter.incarnation == incarnation;
    });
}

bool fake_group::converged()
{
    return std::all_of(m_members.begin(), m_members.end(), [this](const auto& item) {
        return !item.second.state || m_committed.empty() || item.second.applied == m_committed.rbegin()->first;
    });
}

} // namespace chervilport
