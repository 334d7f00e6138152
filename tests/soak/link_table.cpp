#include "tests/soak/link_table.h"

namespace chervilport::soak {

void link_table::cut(node_id from, node_id to) { ++m_cuts[{ from, to }]; }

void link_table::restore(node_id from, node_id to)
{
    const auto found = m_cuts.find({ from, to });
    if (found != m_cuts.end() && --found->second <= 0)
        m_cuts.erase(found);
}

void link_table::setDelay(node_id from, node_id to, std::chrono::milliseconds delay) { m_delays[{ from, to }] = delay; }

void link_table::clear()
{
    m_cuts.clear();
    m_delays.clear();
}

bool link_table::isCut(node_id from, node_id to) const { return m_cuts.contains({ from, to }); }

std::chrono::milliseconds link_table::delay(node_id from, node_id to) const
{
    const auto found = m_delays.find({ from, to });
    return found == m_delays.end() ? std::chrono::milliseconds(0) : found->second;
}

} // namespace chervilport::soak
