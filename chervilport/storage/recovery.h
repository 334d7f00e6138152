#pragma once

#include "chervilport/consensus/persisted_state.h"
#include "chervilport/storage/file_system.h"
#include "chervilport/storage/log_index.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// What the files of a group hold.
struct recovered_group {
    /// Term, vote, snapshot and the entries after it.
    persisted_state state;
    /// Places of the entries.
    log_index index;
    /// Numbers of the segments, ascending and without gaps; empty for a new group.
    std::vector<std::uint64_t> segments;
    /// Indexes of the snapshot files, ascending.
    std::vector<std::uint64_t> snapshots;
    /// Valid content of the last segment, with a base record added where a crash came between a snapshot and its
    /// record.
    std::string lastContent;
    /// Bytes of a write that was never synced and is cut off.
    std::uint64_t discardedBytes = 0;
};

/// Returns the file name of a segment.
std::string segmentName(std::uint64_t number);

/// Returns the file name of a snapshot.
std::string snapshotName(std::uint64_t index);

/// Reads the files of a group and removes incomplete temporary files. Throws chervilport_error `StorageFailure` with
/// file and offset when synced data is damaged or missing.
recovered_group recoverGroup(const file_system&, const std::string& folder);

} // namespace chervilport
