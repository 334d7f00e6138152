#include "chervilport/control/graceful_shutdown.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// A balancer that asks every second has seen twice by then that the instance is not ready.
    constexpr std::chrono::milliseconds balancerNotice { 2'300 };
    constexpr std::chrono::milliseconds entryIdle { 500 };
    constexpr std::chrono::milliseconds entryEndMargin { 700 };
    constexpr std::chrono::milliseconds controlIdle { 300 };
    constexpr std::chrono::milliseconds controlEndMargin { 1'000 };

} // namespace

stop_times entryStopTimes(std::chrono::milliseconds grace)
{
    return { grace, balancerNotice, entryIdle, entryEndMargin };
}

stop_times controlStopTimes(std::chrono::milliseconds grace)
{
    return { grace, std::chrono::milliseconds(0), controlIdle, controlEndMargin };
}

planned_stop::planned_stop(asio::io_context& context, const stop_times& times, stages given)
    : m_times(times)
    , m_stages(std::move(given))
    , m_noticeTimer(context)
    , m_endTimer(context)
{
}

void planned_stop::begin()
{
    if (std::exchange(m_begun, true))
        return;
    m_endTimer.expires_after(std::max(m_times.grace - m_times.endMargin, std::chrono::milliseconds(0)));
    m_endTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            finish();
    });
    m_stages.handOver([this] { serveOn(); });
}

void planned_stop::serveOn()
{
    // With little time, half of it is left for open connections.
    const auto latest = std::max(m_times.grace - m_times.endMargin, std::chrono::milliseconds(0));
    m_noticeTimer.expires_after(std::min(m_times.notice, latest / 2));
    m_noticeTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            close();
    });
}

void planned_stop::close()
{
    if (!m_ended)
        m_stages.closeConnections(m_times.idle, [this] { finish(); });
}

void planned_stop::finish()
{
    if (std::exchange(m_ended, true))
        return;
    m_noticeTimer.cancel();
    m_endTimer.cancel();
    m_stages.end();
}

} // namespace chervilport
