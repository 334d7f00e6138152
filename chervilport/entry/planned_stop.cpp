#include "chervilport/entry/planned_stop.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// Time until a balancer that asks every second has seen twice that the instance is not ready.
    constexpr std::chrono::milliseconds balancerTime { 2'300 };
    /// Time before the forced end at which the process ends by itself.
    constexpr std::chrono::milliseconds endMargin { 700 };

} // namespace

planned_stop::planned_stop(asio::io_context& context, std::chrono::milliseconds grace, stages given)
    : m_grace(grace)
    , m_stages(std::move(given))
    , m_balancerTimer(context)
    , m_endTimer(context)
{
}

void planned_stop::begin()
{
    if (std::exchange(m_begun, true))
        return;
    // With little time, half of it is left for open connections.
    const auto latest = std::max(m_grace - endMargin, std::chrono::milliseconds(0));
    m_endTimer.expires_after(latest);
    m_endTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            finish();
    });
    m_balancerTimer.expires_after(std::min(balancerTime, latest / 2));
    m_balancerTimer.async_wait([this](const std::error_code& error) {
        if (!error && !m_ended)
            m_stages.closeConnections([this] { finish(); });
    });
}

void planned_stop::finish()
{
    if (std::exchange(m_ended, true))
        return;
    m_balancerTimer.cancel();
    m_endTimer.cancel();
    m_stages.end();
}

} // namespace chervilport
