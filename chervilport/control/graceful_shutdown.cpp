#include "chervilport/control/graceful_shutdown.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// A load balancer that checks readiness every second sees twice within this time that the instance is not ready.
    constexpr std::chrono::milliseconds loadBalancerDrainDelay { 2'300 };
    constexpr std::chrono::milliseconds entryIdle { 500 };
    constexpr std::chrono::milliseconds entryEndMargin { 700 };
    constexpr std::chrono::milliseconds controlIdle { 300 };
    constexpr std::chrono::milliseconds controlEndMargin { 1'000 };

} // namespace

shutdown_times entryShutdownTimes(std::chrono::milliseconds grace)
{
    return { grace, loadBalancerDrainDelay, entryIdle, entryEndMargin };
}

shutdown_times controlShutdownTimes(std::chrono::milliseconds grace)
{
    return { grace, std::chrono::milliseconds(0), controlIdle, controlEndMargin };
}

graceful_shutdown::graceful_shutdown(asio::io_context& context, const shutdown_times& times, stages shutdownStages)
    : m_times(times)
    , m_stages(std::move(shutdownStages))
    , m_drainTimer(context)
    , m_endTimer(context)
{
}

void graceful_shutdown::begin()
{
    if (std::exchange(m_begun, true))
        return;
    m_endTimer.expires_after(std::max(m_times.grace - m_times.endMargin, std::chrono::milliseconds(0)));
    m_endTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            finish();
    });
    m_stages.handOver([this] { startDrainDelay(); });
}

void graceful_shutdown::startDrainDelay()
{
    // With a short grace period, reserve half of it for open connections.
    const auto latest = std::max(m_times.grace - m_times.endMargin, std::chrono::milliseconds(0));
    m_drainTimer.expires_after(std::min(m_times.drainDelay, latest / 2));
    m_drainTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            close();
    });
}

void graceful_shutdown::close()
{
    if (!m_ended)
        m_stages.closeConnections(m_times.idle, [this] { finish(); });
}

void graceful_shutdown::finish()
{
    if (std::exchange(m_ended, true))
        return;
    m_drainTimer.cancel();
    m_endTimer.cancel();
    m_stages.end();
}

} // namespace chervilport
