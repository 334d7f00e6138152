#include "chervilport/storage/log_store.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/storage/log_record.h"
#include "chervilport/storage/record.h"
#include "chervilport/storage/recovery.h"

#include <utility>

namespace chervilport {

namespace {

    const std::string quarantineName = "quarantine";

    void requireGroupName(const std::string& group)
    {
        constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
        if (group.empty() || group == quarantineName || group.find_first_not_of(allowed) != std::string::npos)
            throw chervilport_error(
                error_kind::InvalidRequest, "'" + group + "' is not a valid replication group name");
    }

} // namespace

log_store::log_store(data_folder& data, const std::string& group, std::size_t segmentBytes)
    : m_dataFolder(data)
    , m_files(data.files())
    , m_group(group)
    , m_folder(data.path() + "/" + group)
    , m_segmentBytes(segmentBytes)
{
    requireGroupName(group);
}

persisted_state log_store::load()
{
    m_isUsable = false;
    m_currentSegment = file_handle();

    // Read the files of the group.
    m_files.createFolder(m_folder);
    m_files.syncFolder(m_dataFolder.path());
    auto group = recoverGroup(m_files, m_folder);
    if (group.segments.empty() && m_dataFolder.hasGroup(m_group))
        throw chervilport_error(error_kind::StorageFailure, "the log in " + m_folder + " is missing");
    m_segments = std::move(group.segments);
    m_snapshots = std::move(group.snapshots);
    m_hardState = group.state.hardState;
    m_index = group.index;
    m_discardedBytes = group.discardedBytes;

    // Write the last segment again. Its content as read may never have reached the disk: the process may have ended
    // between write and sync, and after a failed sync the kernel may treat unwritten pages as clean.
    if (m_segments.empty()) {
        startSegment(1);
    } else {
        m_currentSegment = replaceFile(m_files, m_folder, segmentName(m_segments.back()), group.lastSegmentContent);
        m_offset = group.lastSegmentContent.size();
    }
    removeCoveredFiles();
    if (!m_dataFolder.hasGroup(m_group))
        m_dataFolder.addGroup(m_group);
    m_isUsable = true;
    return std::move(group.state);
}

void log_store::persist(const std::optional<hard_state>& hardState, const std::optional<snapshot>& installed,
    std::span<const log_entry> appended)
{
    requireUsable();
    requireNoGap(installed, appended);
    invalidateOnFailure([&] {
        if (!installed) {
            if (hardState || !appended.empty())
                writeStep(hardState, appended);
            return;
        }
        if (hardState)
            writeStep(hardState, {});
        writeSnapshot(*installed);
        if (!appended.empty())
            writeStep(std::nullopt, appended);
    });
}

void log_store::saveSnapshot(const snapshot& taken)
{
    requireUsable();
    invalidateOnFailure([&] { writeSnapshot(taken); });
}

std::string log_store::quarantine(data_folder& data, const std::string& group, std::uint64_t freshIncarnation)
{
    requireGroupName(group);
    const auto& files = data.files();
    const auto from = data.path() + "/" + group;
    files.createFolder(from);

    // The folder name contains the abandoned incarnation, so that names never collide.
    const auto folder = data.path() + "/" + quarantineName;
    auto to = folder + "/" + group + "-" + std::to_string(data.incarnation());
    data.removeGroupAndRenewIncarnation(group, freshIncarnation);
    files.createFolder(folder);
    files.rename(from, to);
    files.syncFolder(folder);
    files.syncFolder(data.path());
    return to;
}

void log_store::requireUsable() const
{
    if (!m_isUsable)
        throw chervilport_error(
            error_kind::StorageFailure, "the log in " + m_folder + " is not usable until it is loaded");
}

void log_store::requireNoGap(const std::optional<snapshot>& installed, std::span<const log_entry> entries) const
{
    if (entries.empty())
        return;
    auto base = m_index.base();
    auto last = m_index.last();
    if (installed && installed->index > base) {
        base = installed->index;
        if (!m_index.matches(installed->index, installed->term))
            last = base;
    }
    const auto first = entries.front().index;
    bool follows = first > base && first <= last + 1;
    for (std::size_t i = 0; i < entries.size(); ++i)
        follows = follows && entries[i].index == first + i;
    if (!follows)
        throw chervilport_error(error_kind::Internal,
            "entries from index " + std::to_string(first) + " do not follow the log in " + m_folder);
}

void log_store::invalidateOnFailure(const std::function<void()>& change)
{
    try {
        change();
    } catch (...) {
        m_isUsable = false;
        throw;
    }
}

void log_store::writeRecord(std::string_view payload)
{
    if (m_offset >= m_segmentBytes)
        startSegment(m_segments.back() + 1);
    const auto record = encodeRecord(m_segments.back(), m_offset, payload);
    m_files.write(m_currentSegment.get(), record);
    m_files.sync(m_currentSegment.get());
    m_offset += record.size();
}

void log_store::startSegment(std::uint64_t number)
{
    const auto content = encodeRecord(number, 0, encodeHeader({ number, m_hardState, m_index.base() }));
    m_currentSegment = replaceFile(m_files, m_folder, segmentName(number), content);
    m_offset = content.size();
    m_segments.push_back(number);
}

void log_store::writeStep(const std::optional<hard_state>& hardState, std::span<const log_entry> entries)
{
    writeRecord(encodeStep(hardState, entries));
    if (hardState)
        m_hardState = *hardState;
    for (const auto& entry : entries)
        m_index.append(entry.index, entry.term, m_segments.back());
}

void log_store::writeSnapshot(const snapshot& value)
{
    if (value.index <= m_index.base())
        return;
    replaceFile(m_files, m_folder, snapshotName(value.index), encodeRecord(value.index, 0, encodeSnapshot(value)));
    m_snapshots.push_back(value.index);
    const base_record base { value.index, m_index.matches(value.index, value.term) };
    writeRecord(encodeBase(base));
    m_index.setBase(base.index, base.keepsLaterEntries);
    removeCoveredFiles();
}

void log_store::removeCoveredFiles()
{
    // Files are removed oldest first and each removal is synced, so that a crash never leaves a gap between segments.
    const auto needed = m_index.firstSegment(m_segments.back());
    while (m_segments.front() < needed) {
        m_files.remove(m_folder + "/" + segmentName(m_segments.front()));
        m_files.syncFolder(m_folder);
        m_segments.erase(m_segments.begin());
    }
    while (m_snapshots.size() > 1) {
        m_files.remove(m_folder + "/" + snapshotName(m_snapshots.front()));
        m_files.syncFolder(m_folder);
        m_snapshots.erase(m_snapshots.begin());
    }
}

} // namespace chervilport
