#include "chervilport/instance/replica_group.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/logging/log.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace chervilport {

namespace {

    // A snapshot is taken when the log since the previous one exceeds either bound and is at least as large as that
    // snapshot, so that a large state is not rewritten after a few commands.
    constexpr std::uint64_t entriesBetweenSnapshots = 1'000;
    constexpr std::size_t bytesBetweenSnapshots = std::size_t { 4 } << 20;
    constexpr int ticksPerHeartbeat = 4;

    bool hasDurableChanges(const replica_output& output)
    {
        return output.hardState || output.installedSnapshot || !output.appended.empty();
    }

    bool isSameForObservers(const replica_status& left, const replica_status& right)
    {
        return left.role == right.role && left.term == right.term && left.leader == right.leader
            && left.ready == right.ready && left.members == right.members;
    }

} // namespace

struct replica_group::timer {
    explicit timer(asio::io_context& context)
        : tick(context)
    {
    }
    asio::steady_timer tick;
};

replica_group::replica_group(asio::io_context& context, std::string name, replica_config config, group_storage storage,
    replica_group_hooks hooks)
    : m_name(std::move(name))
    , m_config(std::move(config))
    , m_storage(std::move(storage))
    , m_hooks(std::move(hooks))
    , m_timer(std::make_unique<timer>(context))
{
}

replica_group::~replica_group() = default;

void replica_group::start()
{
    auto stored = m_storage.load();
    if (stored.lastSnapshot) {
        m_hooks.loadSnapshot(stored.lastSnapshot->data);
        m_appliedIndex = stored.lastSnapshot->index;
        m_compactedIndex = m_appliedIndex;
    }
    logInfo(m_name,
        "started with snapshot " + std::to_string(m_appliedIndex) + " and " + std::to_string(stored.entries.size())
            + " entries");
    m_replica = makeReplica(m_config, std::move(stored), monotonicNow());
    m_lastStatus = statusOf(*m_replica);
    process(chervilport::tick(*m_replica, monotonicNow()));
    scheduleTick();
}

void replica_group::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    m_timer->tick.cancel();
    auto pending = std::exchange(m_pending, {});
    for (auto& [index, proposal] : pending)
        proposal.callback(proposal_result::Unknown);
}

void replica_group::receive(const message& incoming)
{
    if (!m_replica || m_failed || m_stopped)
        return;
    process(chervilport::receive(*m_replica, incoming, monotonicNow()));
}

void replica_group::propose(std::string payload, proposal_callback callback)
{
    if (!m_replica || m_failed || m_stopped) {
        callback(proposal_result::NotCommitted);
        return;
    }
    replica_output output;
    std::vector<std::string> payloads;
    payloads.push_back(std::move(payload));
    const auto index = chervilport::propose(*m_replica, std::move(payloads), monotonicNow(), output);
    if (!index) {
        callback(proposal_result::NotCommitted);
        return;
    }
    m_pending[*index] = { statusOf(*m_replica).term, std::move(callback) };
    process(std::move(output));
}

bool replica_group::transferLeadership()
{
    if (!m_replica || m_failed)
        return false;
    replica_output output;
    const bool begun = chervilport::transferLeadership(*m_replica, monotonicNow(), output);
    process(std::move(output));
    return begun;
}

bool replica_group::changeMember(const member& changed, bool asVoter)
{
    if (!m_replica || m_failed)
        return false;
    replica_output output;
    const bool appended = chervilport::changeMember(*m_replica, changed, asVoter, monotonicNow(), output);
    process(std::move(output));
    return appended;
}

bool replica_group::removeMember(member_id removed)
{
    if (!m_replica || m_failed)
        return false;
    replica_output output;
    const bool appended = chervilport::removeMember(*m_replica, removed, monotonicNow(), output);
    process(std::move(output));
    return appended;
}

bool replica_group::mayExecute() const
{
    if (!m_replica || m_failed || m_stopped)
        return false;
    const auto now = statusOf(*m_replica);
    return now.role == replica_role::Leader && now.ready && holdsLease(*m_replica, monotonicNow());
}

bool replica_group::mayServe() const { return mayExecute() && m_appliedIndex == statusOf(*m_replica).commitIndex; }

replica_status replica_group::status() const { return m_replica ? statusOf(*m_replica) : m_lastStatus; }

void replica_group::scheduleTick()
{
    m_timer->tick.expires_after(m_config.heartbeatInterval / ticksPerHeartbeat);
    m_timer->tick.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || self->m_stopped || self->m_failed)
            return;
        self->process(chervilport::tick(*self->m_replica, monotonicNow()));
        self->scheduleTick();
    });
}

void replica_group::process(replica_output output)
{
    // Hooks may propose while an output is processed. Their output is queued, so that entries are applied in log order.
    m_outputs.push_back(std::move(output));
    if (m_processing)
        return;
    m_processing = true;
    bool isIdle = false;
    while (!isIdle && !m_failed) {
        const bool hasPersisted = processQueued();
        // The leader counts itself toward the quorum only after all queued outputs are durable.
        if (hasPersisted && !m_failed)
            m_outputs.push_back(chervilport::persisted(*m_replica, monotonicNow()));
        if (!m_outputs.empty() || m_failed)
            continue;
        abandonPendingProposals();
        compactIfDue();
        reportStatus();
        isIdle = m_outputs.empty();
    }
    m_processing = false;
    m_outputs.clear();
}

bool replica_group::processQueued()
{
    bool hasPersisted = false;
    while (!m_outputs.empty() && !m_failed) {
        auto next = std::move(m_outputs.front());
        m_outputs.pop_front();
        hasPersisted |= hasDurableChanges(next);
        processOne(std::move(next));
    }
    return hasPersisted;
}

void replica_group::processOne(replica_output output)
{
    // Make the output durable before its messages are sent.
    if (hasDurableChanges(output)) {
        try {
            persist(output);
        } catch (const chervilport_error& error) {
            fail(error.what());
            return;
        }
    }
    if (output.installedSnapshot) {
        m_hooks.loadSnapshot(output.installedSnapshot->data);
        m_appliedIndex = output.installedSnapshot->index;
        m_compactedIndex = m_appliedIndex;
        m_bytesSinceSnapshot = 0;
    }
    if (!output.messages.empty())
        m_hooks.send(std::move(output.messages));
    applyCommitted(output.committed);
}

void replica_group::persist(const replica_output& output)
{
    for (const auto& entry : output.appended)
        m_bytesSinceSnapshot += entry.payload.size();
    m_storage.persist(output);
}

void replica_group::applyCommitted(const std::vector<log_entry>& committed)
{
    for (const auto& entry : committed) {
        if (entry.kind == entry_kind::Data)
            m_hooks.apply(entry.payload);
        m_appliedIndex = entry.index;
        completeProposal(entry);
    }
}

void replica_group::completeProposal(const log_entry& entry)
{
    const auto found = m_pending.find(entry.index);
    if (found == m_pending.end())
        return;
    const auto proposal = std::move(found->second);
    m_pending.erase(found);
    proposal.callback(proposal.term == entry.term ? proposal_result::Committed : proposal_result::NotCommitted);
}

void replica_group::abandonPendingProposals()
{
    if (m_pending.empty())
        return;
    const auto now = statusOf(*m_replica);
    if (now.role == replica_role::Leader && now.term == m_pending.begin()->second.term)
        return;
    auto pending = std::exchange(m_pending, {});
    for (auto& [index, proposal] : pending)
        proposal.callback(proposal_result::Unknown);
}

void replica_group::compactIfDue()
{
    const auto newEntries = m_appliedIndex - m_compactedIndex;
    const bool isLargeEnough = newEntries >= entriesBetweenSnapshots || m_bytesSinceSnapshot >= bytesBetweenSnapshots;
    if (!newEntries || !isLargeEnough || m_bytesSinceSnapshot < m_snapshotBytes)
        return;
    const auto taken = compact(*m_replica, m_appliedIndex, m_hooks.takeSnapshot());
    m_compactedIndex = m_appliedIndex;
    m_bytesSinceSnapshot = 0;
    m_snapshotBytes = taken.data.size();
    try {
        m_storage.saveSnapshot(taken);
    } catch (const chervilport_error& error) {
        fail(error.what());
    }
}

void replica_group::reportStatus()
{
    const auto now = statusOf(*m_replica);
    if (isSameForObservers(now, m_lastStatus))
        return;
    m_lastStatus = now;
    m_hooks.statusChanged(now);
}

void replica_group::fail(const std::string& reason)
{
    logError(m_name, "storage failed, this member stops participating: " + reason);
    m_failed = true;
    if (m_replica)
        m_lastStatus = statusOf(*m_replica);
    m_lastStatus.role = replica_role::Learner;
    m_lastStatus.ready = false;
    auto pending = std::exchange(m_pending, {});
    for (auto& [index, proposal] : pending)
        proposal.callback(proposal_result::Unknown);
    m_hooks.statusChanged(m_lastStatus);
}

} // namespace chervilport
