#pragma once

#include <cstdint>
#include <deque>

namespace chervilport {

/// In-memory index of a log: the terms of the entries and the segments that contain them.
class log_index {
public:
    /// Returns the last index that a snapshot covers.
    std::uint64_t base() const { return m_base; }
    /// Returns the index of the last entry of the log, or `base` if there are none.
    std::uint64_t last() const { return m_firstIndex + m_locations.size() - 1; }

    /// Drops the entries from `index` on and appends an entry with the given term at `index`. Returns false without a
    /// change when entries before `index` are missing.
    bool append(std::uint64_t index, std::uint64_t term, std::uint64_t segment);

    /// Returns whether there is an entry at the index and it has the given term.
    bool matches(std::uint64_t index, std::uint64_t term) const;

    /// Records that a snapshot covers the log up to `index`. Drops the entries up to `index`, and the later ones as
    /// well unless `keepsLaterEntries` is set.
    void setBase(std::uint64_t index, bool keepsLaterEntries);

    /// Returns the number of the first segment that contains an entry of the log, or `fallback` if there are no
    /// entries.
    std::uint64_t firstSegment(std::uint64_t fallback) const;

    /// Returns the index of the first entry, or of the next one to append if there are none.
    std::uint64_t first() const { return m_firstIndex; }

private:
    struct entry_location {
        std::uint64_t term;
        std::uint64_t segment;
    };

    std::uint64_t m_base = 0;
    std::uint64_t m_firstIndex = 1;
    std::deque<entry_location> m_locations;
};

} // namespace chervilport
