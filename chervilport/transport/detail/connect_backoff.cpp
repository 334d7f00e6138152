#include "chervilport/transport/detail/connect_backoff.h"

#include <algorithm>

namespace chervilport {

connect_backoff::connect_backoff(const transport_limits& limits, std::uint32_t seed)
    : m_first(limits.firstBackoff)
    , m_maximum(limits.maxBackoff)
    , m_noPlace(limits.noPlaceBackoff)
    , m_current(limits.firstBackoff)
    , m_random(seed)
{
}

std::chrono::milliseconds connect_backoff::next(connect_result result)
{
    if (result == connect_result::Lasted)
        m_current = m_first;
    const auto longest = result == connect_result::NoPlace ? m_noPlace : m_current;
    m_current = std::min(m_current * 2, m_maximum);
    std::uniform_int_distribution<std::int64_t> pause((longest / 2).count(), longest.count());
    return std::chrono::milliseconds(pause(m_random));
}

} // namespace chervilport
