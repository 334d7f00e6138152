#include "chervilport/instance/domain_controller.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/domain_command.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/logging/log.h"
#include "chervilport/requests/claim_step.h"
#include "chervilport/scheduling/event_codec.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "domain";
    // Minimum interval between timer events, so that a wake-up time in the past cannot flood the log.
    constexpr log_duration minWakeInterval = std::chrono::milliseconds(50);

} // namespace

struct domain_controller::timer {
    explicit timer(asio::io_context& context)
        : wake(context)
    {
    }
    asio::steady_timer wake;
};

domain_controller::domain_controller(asio::io_context& context, domain_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_timer(std::make_unique<timer>(context))
    , m_schedule(makeScheduleState())
{
}

domain_controller::~domain_controller() = default;

void domain_controller::attach(const std::shared_ptr<replica_group>& group) { m_group = group; }

void domain_controller::apply(std::string_view payload)
{
    const auto decoded = decodeDomainCommand(payload);
    m_clock.observe(decoded.time);
    m_lastCommands.clear();
    if (decoded.kind == domain_command_kind::Claim) {
        m_lastClaimReply = applyClaimStep(m_claims, decodeClaimStep(decoded.content), m_clock.lastApplied());
        return;
    }
    m_lastCommands = applyEvent(*m_schedule, decodeEvent(decoded.content), m_clock.lastApplied());
    m_hooks.observe(m_lastCommands);
    if (!m_leading)
        return;
    m_hooks.dispatch(m_lastCommands);
    armWakeTimer();
}

std::string domain_controller::takeSnapshot() const
{
    return encodeDomainSnapshot({ m_clock.lastApplied(), encodeState(*m_schedule), encodeClaimState(m_claims) });
}

void domain_controller::loadSnapshot(std::string_view data)
{
    const auto decoded = decodeDomainSnapshot(data);
    m_clock.observe(decoded.time);
    m_schedule = decodeState(decoded.schedule);
    m_claims = decodeClaimState(decoded.claims);
}

void domain_controller::statusChanged(const replica_status& status)
{
    const bool leads = status.role == replica_role::Leader && status.ready;
    if (leads == m_leading)
        return;
    m_leading = leads;
    m_timer->wake.cancel();
    if (!leads)
        return;
    if (!m_clock.begin(wallNow(), monotonicNow()))
        logWarning(part, "the wall clock is too far ahead of the log; log time continues from the last command");
    logInfo(part, "leading in term " + std::to_string(status.term));
    // Commands that an earlier leader sent may be lost.
    m_hooks.dispatch(outstandingCommands(*m_schedule));
    armWakeTimer();
}

void domain_controller::submit(const event& submitted, event_callback callback)
{
    const auto group = m_group.lock();
    if (!group) {
        if (callback)
            callback(proposal_result::NotCommitted, {});
        return;
    }
    auto payload = encodeDomainCommand({ domain_command_kind::Scheduling, nextStamp(), encodeEvent(submitted) });
    group->propose(
        std::move(payload), [weak = weak_from_this(), callback = std::move(callback)](proposal_result result) {
            const auto self = weak.lock();
            if (!callback || !self)
                return;
            if (result == proposal_result::Committed) {
                // The callback may apply further commands, which would replace the list; so it gets a copy.
                const auto commands = self->m_lastCommands;
                callback(result, commands);
            } else {
                callback(result, {});
            }
        });
}

void domain_controller::submitClaim(const claim_step& step, claim_callback callback)
{
    const auto group = m_group.lock();
    if (!group) {
        callback(proposal_result::NotCommitted, {});
        return;
    }
    auto payload = encodeDomainCommand({ domain_command_kind::Claim, nextStamp(), encodeClaimStep(step) });
    group->propose(
        std::move(payload), [weak = weak_from_this(), callback = std::move(callback)](proposal_result result) {
            const auto self = weak.lock();
            if (self && result == proposal_result::Committed)
                callback(result, claim_reply(self->m_lastClaimReply));
            else
                callback(result, {});
        });
}

log_time domain_controller::logNow() { return nextStamp(); }

log_time domain_controller::nextStamp() { return m_leading ? m_clock.stamp(monotonicNow()) : m_clock.lastApplied(); }

void domain_controller::stop()
{
    m_timer->wake.cancel();
    m_leading = false;
}

void domain_controller::armWakeTimer()
{
    const auto wake = nextWakeTime(*m_schedule);
    if (!wake) {
        m_timer->wake.cancel();
        return;
    }
    m_timer->wake.expires_after(std::max(*wake - logNow(), minWakeInterval));
    m_timer->wake.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || !self->m_leading)
            return;
        self->submit(timer_fired {});
    });
}

} // namespace chervilport
