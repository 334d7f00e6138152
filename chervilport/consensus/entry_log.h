#pragma once

#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/persisted_state.h"
#include "chervilport/consensus/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace chervilport {

/// The entries of a replica's log that are in memory, and the snapshot that covers the entries before them.
struct entry_log {
    /// Index of the entry before the first entry in memory.
    std::uint64_t baseIndex = 0;
    /// Term of that entry.
    std::uint64_t baseTerm = 0;
    /// Entries from `baseIndex` + 1, without gaps.
    std::deque<log_entry> entries;
    /// Last snapshot. Its index is at least `baseIndex` once entries were dropped.
    std::optional<snapshot> lastSnapshot;
};

/// Builds the log from the stored state. Throws `StorageFailure` when the entries have gaps.
entry_log makeEntryLog(persisted_state&&);

/// Returns the index of the last entry, 0 for an empty log.
std::uint64_t lastIndex(const entry_log&);

/// Returns the term of the last entry, 0 for an empty log.
std::uint64_t lastTerm(const entry_log&);

/// Returns the term of the entry at `index`, or nothing when the log does not contain it.
std::optional<std::uint64_t> termAt(const entry_log&, std::uint64_t index);

/// Returns the entry at `index`, which must be in memory.
const log_entry& entryAt(const entry_log&, std::uint64_t index);

/// Copies the entries from `first` on, up to `maxBytes` of payload but at least one entry if any exists.
std::vector<log_entry> copyEntries(const entry_log&, std::uint64_t first, std::size_t maxBytes);

/// Drops the entry at `first` and all entries after it.
void truncateFrom(entry_log&, std::uint64_t first);

/// Drops all entries and makes the log start after a snapshot.
void resetToSnapshot(entry_log&, snapshot);

/// Stores the snapshot and drops the entries that it covers, except the last `retained` ones.
void compactTo(entry_log&, snapshot, std::uint64_t retained);

} // namespace chervilport
