#include "chervilport/storage/log_index.h"

#include <algorithm>

namespace chervilport {

bool log_index::append(std::uint64_t index, std::uint64_t term, std::uint64_t segment)
{
    if (m_places.empty() || index < m_first) {
        m_places.clear();
        m_first = index;
    } else if (index > last() + 1) {
        return false;
    } else {
        m_places.resize(index - m_first);
    }
    m_places.push_back({ term, segment });
    return true;
}

bool log_index::matches(std::uint64_t index, std::uint64_t term) const
{
    return index >= m_first && index <= last() && m_places[index - m_first].term == term;
}

void log_index::setBase(std::uint64_t index, bool keepsLater)
{
    m_base = index;
    if (!keepsLater || last() <= index || m_places.empty()) {
        m_places.clear();
        m_first = index + 1;
        return;
    }
    while (m_first <= index) {
        m_places.pop_front();
        ++m_first;
    }
}

std::uint64_t log_index::firstSegment(std::uint64_t otherwise) const
{
    // Entries are appended to later and later segments, and a replaced entry is never before a kept one.
    return m_places.empty() ? otherwise : m_places.front().segment;
}

} // namespace chervilport
