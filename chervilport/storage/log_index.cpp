#include "chervilport/storage/log_index.h"

#include <algorithm>

namespace chervilport {

bool log_index::append(std::uint64_t index, std::uint64_t term, std::uint64_t segment)
{
    if (m_locations.empty() || index < m_firstIndex) {
        m_locations.clear();
        m_firstIndex = index;
    } else if (index > last() + 1) {
        return false;
    } else {
        m_locations.resize(index - m_firstIndex);
    }
    m_locations.push_back({ term, segment });
    return true;
}

bool log_index::matches(std::uint64_t index, std::uint64_t term) const
{
    return index >= m_firstIndex && index <= last() && m_locations[index - m_firstIndex].term == term;
}

void log_index::setBase(std::uint64_t index, bool keepsLaterEntries)
{
    m_base = index;
    if (!keepsLaterEntries || last() <= index || m_locations.empty()) {
        m_locations.clear();
        m_firstIndex = index + 1;
        return;
    }
    while (m_firstIndex <= index) {
        m_locations.pop_front();
        ++m_firstIndex;
    }
}

std::uint64_t log_index::firstSegment(std::uint64_t fallback) const
{
    // Segment numbers never decrease along the log: entries are appended to the last segment, and appending drops all
    // later entries.
    return m_locations.empty() ? fallback : m_locations.front().segment;
}

} // namespace chervilport
