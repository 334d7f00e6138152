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

/// The part of a replica's log that is in memory, and the snapshot that stands for the rest.
struct entry_log {
    /// Index of the entry before the first one held.
    std::uint64_t baseIndex = 0;
    /// Term of that entry.
    std::uint64_t baseTerm = 0;
    /// Entries from `baseIndex` + 1, without gaps.
    std::deque<log_entry> entries;
    /// Last snapshot; its index is at least `baseIndex` once entries were dropped.
    std::optional<snapshot> lastSnapshot;
};

/// Builds the log from what storage holds. Throws `StorageFailure` when the entries have gaps.
entry_log makeEntryLog(persisted_state&&);

/// Index of the last entry, 0 for an empty log.
std::uint64_t lastIndex(const entry_log&);

/// Term of the last entry, 0 for an empty log.
std::uint64_t lastTerm(const entry_log&);

/// Term of an entry, or nothing when it is not held.
std::optional<std::uint64_t> termAt(const entry_log&, std::uint64_t index);

/// An entry that is held.
const log_entry& entryAt(const entry_log&, std::uint64_t index);

/// Copies entries from `first` on, up to the given payload bytes but at least one if there is one.
std::vector<log_entry> copyEntries(const entry_log&, std::uint64_t first, std::size_t maxBytes);

/// Drops the entry `first` and all after it.
void truncateFrom(entry_log&, std::uint64_t first);

/// Replaces the whole log by a snapshot.
void resetToSnapshot(entry_log&, snapshot);

/// Keeps the snapshot and drops entries before it, except the last `retained` ones.
void compactTo(entry_log&, snapshot, std::uint64_t retained);

} // namespace chervilport
