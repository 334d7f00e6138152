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

/// Size in bytes from which a segment gets a successor. It bounds what is read and written again at a start.
inline constexpr std::size_t defaultSegmentBytes = std::size_t { 4 } * 1024 * 1024;

/// The durable log of one replication group, in a folder of its own below the data folder. Use it on one thread.
///
/// After any failed file operation the state of the disk is not known, so every further call throws `StorageFailure`
/// until `load` has read the files again.
class log_store {
public:
    /// Opens the log of a group; the data folder has to outlive the store. Nothing is read before `load`. The name
    /// consists of small letters, digits and hyphens. Throws chervilport_error `InvalidRequest` for another name.
    log_store(data_folder&, const std::string& group, std::size_t segmentBytes = defaultSegmentBytes);
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// Reads the log and makes it ready for `persist`; also after a failure. What it returns is durable. An unsynced
    /// write that a crash left incomplete is cut off. Throws chervilport_error `StorageFailure` that names file and
    /// offset when synced data is damaged or missing; `quarantine` is then the way out.
    persisted_state load();

    /// Makes one step durable before it returns: term and vote, then a snapshot received from the leader, then entries.
    /// An entry whose index is stored drops that one and all after it. A snapshot drops the log up to it, and all of
    /// the log unless the entry at its index has its term. After a crash a prefix of these three parts is there, each
    /// as a whole. Throws chervilport_error `StorageFailure`; `Internal` when entries would leave a gap.
    void persist(const std::optional<hard_state>&, const std::optional<snapshot>& installed,
        std::span<const log_entry> appended);

    /// Makes a snapshot durable, then drops the entries up to it. A snapshot that is not newer than the last one is
    /// ignored. Throws chervilport_error `StorageFailure`.
    void saveSnapshot(const snapshot&);

    /// Returns the bytes that the last `load` cut off.
    std::uint64_t discardedBytes() const { return m_discardedBytes; }

    /// Moves the log of a group aside, into a folder `quarantine` below the data folder, and takes a new incarnation
    /// first, so that an instance without its log never acts under the incarnation that the other members count on.
    /// Nothing is deleted. No store of the group may be in use. Returns the new place. Throws chervilport_error
    /// `StorageFailure`; it can be repeated.
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

    data_folder& m_data;
    const file_system& m_files;
    const std::string m_group;
    const std::string m_folder;
    const std::size_t m_segmentBytes;
    bool m_isUsable = false;
    file_handle m_current;
    std::size_t m_offset = 0;
    std::vector<std::uint64_t> m_segments;
    std::vector<std::uint64_t> m_snapshots;
    hard_state m_hardState;
    log_index m_index;
    std::uint64_t m_discardedBytes = 0;
};

} // namespace chervilport
