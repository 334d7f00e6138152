#pragma once

#include <cstdint>
#include <deque>

namespace chervilport {

/// What the store remembers of the entries of a log: their terms and the segments that hold them.
class log_index {
public:
    /// Returns the last index that a snapshot covers.
    std::uint64_t base() const { return m_base; }
    /// Returns the last index of the log.
    std::uint64_t last() const { return m_first + m_locations.size() - 1; }

    /// Drops the entries from `index` on and appends an entry of the given term there. Returns false, and changes
    /// nothing, when entries before it are missing.
    bool append(std::uint64_t index, std::uint64_t term, std::uint64_t segment);

    /// Returns whether the entry at an index is known and has the given term.
    bool matches(std::uint64_t index, std::uint64_t term) const;

    /// Notes that a snapshot covers the log up to an index, and drops the entries up to it, or all of them.
    void setBase(std::uint64_t index, bool keepsLaterEntries);

    /// Returns the first segment that holds an entry of the log, or `otherwise` when there is none.
    std::uint64_t firstSegment(std::uint64_t fallback) const;

    /// Returns the index of the first entry that is held.
    std::uint64_t first() const { return m_first; }

private:
    struct entry_location {
        std::uint64_t term;
        std::uint64_t segment;
    };

    std::uint64_t m_base = 0;
    std::uint64_t m_first = 1;
    std::deque<entry_location> m_locations;
};

} // namespace chervilport
