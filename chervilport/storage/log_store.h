#pragma once

#include "chervilport/consensus/hard_state.h"
#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/persisted_state.h"
#include "chervilport/consensus/snapshot.h"
#include "chervilport/storage/data_folder.h"
#include "chervilport/storage/log_index.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Size in bytes from which the next record starts a new segment. Bounds the bytes that are rewritten at start.
inline constexpr std::size_t defaultSegmentBytes = std::size_t { 4 } * 1024 * 1024;

/// The durable log of one replication group, in its own folder below the data folder. Not thread-safe.
///
/// After a failed file operation the state of the disk is unknown. Every further call throws `StorageFailure` until
/// `load` has read the files again.
class log_store {
public:
    /// Creates the store of a group without reading files. The data folder must outlive the store. The group name
    /// consists of lower-case letters, digits and hyphens; `quarantine` is reserved. Throws chervilport_error
    /// `InvalidRequest` for any other name.
    log_store(data_folder&, const std::string& group, std::size_t segmentBytes = defaultSegmentBytes);
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// Reads the log and makes it ready for `persist`, also after a failure. The returned state is durable. An
    /// incomplete write at the end, which was never synced, is discarded. Throws chervilport_error `StorageFailure`
    /// with file and offset when synced data is damaged or missing; `quarantine` then allows a start without the log.
    persisted_state load();

    /// Makes one step durable before it returns: term and vote, then a snapshot received from the leader, then entries.
    /// If the index of an entry is already stored, that stored entry and all after it are dropped. A snapshot drops the
    /// entries up to its index, and all entries unless the entry at its index has its term. Each of the three parts is
    /// atomic, and after a crash a prefix of them is stored. Throws chervilport_error `StorageFailure`, or `Internal`
    /// when entries would leave a gap.
    void persist(const std::optional<hard_state>&, const std::optional<snapshot>& installed,
        std::span<const log_entry> appended);

    /// Makes a snapshot durable, then drops the entries that it covers. A snapshot that is not newer than the last one
    /// is ignored. Throws chervilport_error `StorageFailure`.
    void saveSnapshot(const snapshot&);

    /// Returns the number of bytes of an incomplete write that the last `load` discarded.
    std::uint64_t discardedBytes() const { return m_discardedBytes; }

    /// Moves the log of a group into the folder `quarantine` below the data folder. Sets a new incarnation first, so
    /// that an instance without its log never acts under the incarnation that the other members count on. Deletes
    /// nothing. No store of the group may be in use. Returns the new path of the log. Throws chervilport_error
    /// `StorageFailure`; the call can then be retried.
    static std::string quarantine(data_folder&, const std::string& group, std::uint64_t freshIncarnation);

private:
    void requireUsable() const;
    void requireNoGap(const std::optional<snapshot>& installed, std::span<const log_entry>) const;
    void invalidateOnFailure(const std::function<void()>& change);
    void writeRecord(std::string_view payload);
    void startSegment(std::uint64_t number);
    void writeStep(const std::optional<hard_state>&, std::span<const log_entry>);
    void writeSnapshot(const snapshot&);
    void removeCoveredFiles();

    data_folder& m_dataFolder;
    const file_system& m_files;
    const std::string m_group;
    const std::string m_folder;
    const std::size_t m_segmentBytes;
    bool m_isUsable = false;
    file_handle m_currentSegment;
    std::size_t m_offset = 0;
    std::vector<std::uint64_t> m_segments;
    std::vector<std::uint64_t> m_snapshots;
    hard_state m_hardState;
    log_index m_index;
    std::uint64_t m_discardedBytes = 0;
};

} // namespace chervilport
