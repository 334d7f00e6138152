#pragma once

#include "chervilport/consensus/persisted_state.h"
#include "chervilport/storage/file_system.h"
#include "chervilport/storage/log_index.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Content of the files of a group.
struct recovered_group {
    /// Term, vote, snapshot and the entries after it.
    persisted_state state;
    /// Terms and segments of the entries.
    log_index index;
    /// Numbers of the segments, ascending and without gaps; empty for a new group.
    std::vector<std::uint64_t> segments;
    /// Indexes of the snapshot files, ascending.
    std::vector<std::uint64_t> snapshots;
    /// Valid content of the last segment. A base record is added if a crash occurred between writing a snapshot and
    /// writing its base record.
    std::string lastSegmentContent;
    /// Number of bytes of an incomplete, never synced write that are discarded.
    std::uint64_t discardedBytes = 0;
};

/// Returns the file name of the segment with the given number.
std::string segmentName(std::uint64_t number);

/// Returns the file name of the snapshot at the given index.
std::string snapshotName(std::uint64_t index);

/// Reads the files of a group and removes temporary files. Throws chervilport_error `StorageFailure` with file and
/// offset when synced data is damaged or missing.
recovered_group recoverGroup(const file_system&, const std::string& folder);

} // namespace chervilport
