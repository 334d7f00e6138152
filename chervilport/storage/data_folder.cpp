#include "chervilport/storage/data_folder.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/storage/byte_codec.h"
#include "chervilport/storage/record.h"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace chervilport {

namespace {

    const std::string lockName = "lock";
    const std::string incarnationName = "incarnation";

    /// Creates the folder if it is missing. The parent folder is always synced, because an earlier process may have
    /// ended between the two steps.
    void createDurably(const file_system& files, const std::string& path)
    {
        files.createFolder(path);
        const auto parent = std::filesystem::path(path).parent_path().string();
        files.syncFolder(parent.empty() ? "." : parent);
    }

} // namespace

data_folder::data_folder(file_system files, std::string path, std::uint64_t freshIncarnation)
    : m_files(std::move(files))
    , m_path(std::move(path))
{
    createDurably(m_files, m_path);
    m_lock = file_handle(m_files, m_files.lock(m_path + "/" + lockName));
    if (m_files.exists(m_path + "/" + incarnationName)) {
        // The file name may not be durable yet if an earlier process ended before it synced the folder.
        m_files.syncFolder(m_path);
        readIncarnation();
        return;
    }
    writeIncarnation(freshIncarnation, {});
    m_isFresh = true;
}

void data_folder::addGroup(const std::string& group)
{
    auto groups = m_groups;
    groups.insert(group);
    writeIncarnation(m_incarnation, groups);
}

void data_folder::removeGroupAndRenewIncarnation(const std::string& group, std::uint64_t freshIncarnation)
{
    auto groups = m_groups;
    groups.erase(group);
    writeIncarnation(std::max(m_incarnation + 1, freshIncarnation), groups);
}

void data_folder::readIncarnation()
{
    const auto path = m_path + "/" + incarnationName;
    const auto content = m_files.read(path);
    const auto scan = scanRecord(0, content, 0);
    byte_reader reader(scan.payload);
    m_incarnation = reader.get64();
    const auto count = reader.get32();
    for (std::uint32_t i = 0; i < count && reader.isGood(); ++i)
        m_groups.insert(reader.getText());
    if (!scan.valid || !reader.isFinished())
        throw chervilport_error(error_kind::StorageFailure,
            "damaged record in " + path
                + " at offset 0; move the whole data folder aside to start as a new incarnation");
}

void data_folder::writeIncarnation(std::uint64_t incarnation, const std::set<std::string>& groups)
{
    byte_writer writer;
    writer.put64(incarnation);
    writer.put32(static_cast<std::uint32_t>(groups.size()));
    for (const auto& each : groups)
        writer.putText(each);
    replaceFile(m_files, m_path, incarnationName, encodeRecord(0, 0, writer.bytes()));
    m_incarnation = incarnation;
    m_groups = groups;
}

} // namespace chervilport
