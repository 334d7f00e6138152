#include "chervilport/control/leader_relay.h"

#include "chervilport/instance/control_call.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/peer_network.h"
#include "chervilport/logging/event_log.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <random>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };
    /// Time since the last contact after which the leader is probed again.
    constexpr std::chrono::milliseconds probeInterval { 700 };
    /// Timeout of a status request.
    constexpr std::chrono::milliseconds statusTimeout { 600 };
    /// Timeout of one attempt to relay a call, after which it is retried.
    constexpr std::chrono::milliseconds attemptTimeout { 900 };
    /// Time without contact after which there is no path to a leader: calls are refused at once, and the readiness
    /// check fails so that the load balancer uses other instances. An election of the control group takes less.
    constexpr std::chrono::milliseconds leaderExpiry { 2'000 };
    /// Delay of the next attempt after the presumed leader refused a call or lost its leadership.
    constexpr std::chrono::milliseconds refusalBackoff { 40 };

    std::uint64_t numberOf(member_id id) { return static_cast<std::uint64_t>(id); }

} // namespace

struct leader_relay::pending_call {
    http_request request;
    std::string name;
    log_time deadline;
    callback done;
    log_time notBefore;
    int attempts = 0;
    bool mayHaveRun = false;
    bool finished = false;
};

leader_relay::leader_relay(asio::io_context& context, peer_network& network, member_id self)
    : m_context(context)
    , m_network(network)
    , m_self(self)
    , m_tick(context, tickInterval)
    , m_lastLeaderContact(monotonicNow() - leaderExpiry)
    , m_search(std::random_device {}())
{
}

leader_relay::~leader_relay() = default;

void leader_relay::start()
{
    m_tick.start([this] { tick(); });
}

void leader_relay::stop()
{
    m_stopped = true;
    m_tick.stop();
    for (const auto& call : std::exchange(m_waiting, {}))
        finish(call, { std::nullopt, call->mayHaveRun });
}

void leader_relay::setSeeds(std::vector<member_id> seeds) { m_seeds = std::move(seeds); }

std::vector<member_id> leader_relay::candidates() const
{
    auto all = m_members;
    all.insert(all.end(), m_seeds.begin(), m_seeds.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    std::erase(all, m_self);
    return all;
}

bool leader_relay::hasLeader(log_time now) const { return m_leader && timeSinceLeaderContact(now) < leaderExpiry; }

void leader_relay::tick()
{
    const auto now = monotonicNow();
    if (!m_leader || timeSinceLeaderContact(now) > 2 * probeInterval)
        search(now);
    else if (timeSinceLeaderContact(now) > probeInterval && now - m_lastProbe > probeInterval) {
        m_lastProbe = now;
        probe(*m_leader);
    }
    resumeWaiting();
}

void leader_relay::search(log_time now)
{
    // A pause shorter than the tick makes several questions due at once, each to another candidate.
    const auto all = candidates();
    for (std::size_t i = 0; i < all.size() && takeQuestion(m_search, now); ++i)
        probe(all[m_search.questions % all.size()]);
}

void leader_relay::probe(member_id target)
{
    control_call call;
    call.request = makeStatusRequest();
    call.deadline = monotonicNow() + statusTimeout;
    m_network.forward(numberOf(target), call, [weak = weak_from_this(), target](const forward_outcome& outcome) {
        const auto self = weak.lock();
        if (!self || self->m_stopped || !outcome.response)
            return;
        if (const auto status = readStatusResponse(*outcome.response))
            self->handleStatus(target, *status);
    });
}

void leader_relay::handleStatus(member_id from, const cluster_status& status)
{
    m_search.pause = status.searchPause;
    if (status.term >= m_term && !status.members.empty() && status.members != m_members) {
        m_members = status.members;
        if (membersChanged)
            membersChanged(candidates());
    }
    if (status.serves && status.term >= m_term) {
        m_term = status.term;
        setLeader(from);
        return;
    }
    if (m_leader == from)
        dropLeader(from, "no longer leads");
    // Probe the named leader at once; its own response says whether it serves.
    if (!m_leader && status.leader && *status.leader != from && *status.leader != m_self)
        probe(*status.leader);
}

void leader_relay::setLeader(member_id leader)
{
    const auto now = monotonicNow();
    if (m_leader != leader)
        logEvent("leader_found",
            { { "leader", numberOf(leader) }, { "term", m_term },
                { "silence_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(timeSinceLeaderContact(now)).count() } });
    m_leader = leader;
    m_lastLeaderContact = now;
    resumeWaiting();
}

void leader_relay::dropLeader(member_id leader, const char* reason)
{
    if (m_leader != leader)
        return;
    logEvent("leader_dropped", { { "leader", numberOf(leader) }, { "reason", reason } }, log_level::Warning);
    m_leader.reset();
    search(monotonicNow());
}

void leader_relay::relay(http_request request, std::string name, log_time deadline, callback done)
{
    auto call = std::make_shared<pending_call>();
    call->request = std::move(request);
    call->name = std::move(name);
    call->deadline = deadline;
    call->done = std::move(done);
    attemptCall(call);
}

void leader_relay::attemptCall(const std::shared_ptr<pending_call>& call)
{
    const auto now = monotonicNow();
    if (m_stopped || now >= call->deadline) {
        finish(call, { std::nullopt, call->mayHaveRun });
        return;
    }
    if (!m_leader && timeSinceLeaderContact(now) >= leaderExpiry) {
        finish(call, { std::nullopt, call->mayHaveRun });
        return;
    }
    if (!m_leader || now < call->notBefore) {
        m_waiting.push_back(call);
        return;
    }
    ++call->attempts;
    const auto target = *m_leader;
    control_call attempt;
    attempt.request = call->request;
    attempt.deadline = std::min(call->deadline, now + attemptTimeout);
    m_network.forward(
        numberOf(target), attempt, [weak = weak_from_this(), call, target](const forward_outcome& outcome) {
            if (const auto self = weak.lock())
                self->handleOutcome(call, target, outcome);
        });
}

void leader_relay::handleOutcome(
    const std::shared_ptr<pending_call>& call, member_id target, const forward_outcome& outcome)
{
    const auto now = monotonicNow();
    if (!outcome.response) {
        call->mayHaveRun = call->mayHaveRun || !outcome.notRun;
        logEvent("relay_attempt_failed",
            { { "request", call->name }, { "leader", numberOf(target) }, { "attempt", call->attempts },
                { "not_run", outcome.notRun ? "true" : "false" }, { "reason", outcome.reason } },
            log_level::Warning);
        // Too many pending calls are no sign that the leader is lost, and a search would add to them.
        if (outcome.overloaded)
            call->notBefore = now + refusalBackoff;
        else
            dropLeader(target, "no answer");
        attemptCall(call);
        return;
    }
    if (isNotLeaderResponse(*outcome.response)) {
        dropLeader(target, "refused to lead");
        if (const auto named = leaderNamedIn(*outcome.response); named && *named != target && *named != m_self)
            probe(*named);
        call->notBefore = now + refusalBackoff;
        attemptCall(call);
        return;
    }
    if (isOutcomeUnknownResponse(*outcome.response)) {
        call->mayHaveRun = true;
        call->notBefore = now + refusalBackoff;
        attemptCall(call);
        return;
    }
    m_lastLeaderContact = now;
    finish(call, { outcome.response, call->mayHaveRun });
}

void leader_relay::finish(const std::shared_ptr<pending_call>& call, relay_outcome outcome)
{
    if (std::exchange(call->finished, true))
        return;
    if (!outcome.response)
        logEvent("relay_gave_up",
            { { "request", call->name }, { "attempts", call->attempts },
                { "maybe_run", outcome.mayHaveRun ? "true" : "false" },
                { "leader", m_leader ? numberOf(*m_leader) : 0 } },
            log_level::Warning);
    call->done(std::move(outcome));
}

void leader_relay::resumeWaiting()
{
    if (m_waiting.empty())
        return;
    for (const auto& call : std::exchange(m_waiting, {}))
        attemptCall(call);
}

} // namespace chervilport
