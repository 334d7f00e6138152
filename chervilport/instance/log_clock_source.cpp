#include "chervilport/instance/log_clock_source.h"

#include <algorithm>

namespace chervilport {

namespace {

    constexpr log_duration maxWallClockStep = std::chrono::hours(24 * 30);

} // namespace

void log_clock_source::observe(log_time applied) { m_lastApplied = std::max(m_lastApplied, applied); }

bool log_clock_source::begin(log_time wall, log_time monotonic)
{
    const bool logIsEmpty = m_lastApplied == log_time {};
    const bool follows = logIsEmpty || wall - m_lastApplied <= maxWallClockStep;
    m_base = follows ? std::max(wall, m_lastApplied) : m_lastApplied;
    m_monotonicBase = monotonic;
    m_lastStamp = m_base;
    return follows;
}

log_time log_clock_source::stamp(log_time monotonic)
{
    m_lastStamp = std::max({ m_lastStamp, m_lastApplied, m_base + (monotonic - m_monotonicBase) });
    return m_lastStamp;
}

} // namespace chervilport
