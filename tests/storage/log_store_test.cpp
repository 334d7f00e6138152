#include "tests/storage/fake_disk.h"
#include "tests/storage/log_model.h"

#include "chervilport/core/chervilport_error.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>

using namespace chervilport;

namespace {

/// A folder in the file system of the machine, removed on destruction.
struct temporary_folder {
    std::string path;

    temporary_folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "chervilport-storage-XXXXXX").string();
        path = ::mkdtemp(pattern.data()) != nullptr ? pattern : "";
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(path); }
};

/// Returns the message of the `StorageFailure` that `load` throws, or an empty text if it succeeds.
std::string loadErrorOf(fake_disk& disk)
{
    data_folder data(disk.files(), "data", 8);
    log_store store(data, "domain");
    try {
        store.load();
    } catch (const chervilport_error& error) {
        cr_assert(error.kind() == error_kind::StorageFailure);
        cr_assert_throw(store.persist(hard_state { 1, {} }, std::nullopt, {}), chervilport_error);
        return error.what();
    }
    return {};
}

/// Writes three records with one entry each; the payload of the last one has about 2000 bytes.
void writeExample(fake_disk& disk, std::size_t segmentBytes = defaultSegmentBytes)
{
    data_folder data(disk.files(), "data", 7);
    log_store store(data, "domain", segmentBytes);
    store.load();
    store.persist(hard_state { 1, member_id { 1 } }, std::nullopt, entriesFrom(1, 1, 1));
    store.persist(std::nullopt, std::nullopt, entriesFrom(2, 1, 1));
    store.persist(std::nullopt, std::nullopt, entriesFrom(3, 1, 1, 2000));
}

const std::string firstSegment = "data/domain/segment-00000000000000000001.log";

} // namespace

// Guards against a difference between the fake disk and the file system of the machine.
Test(log_store, real_files_match_the_model)
{
    const temporary_folder folder;
    const auto path = folder.path + "/data";
    log_model model;
    for (const auto& call : exampleCalls()) {
        data_folder data(realFileSystem(), path, 7);
        cr_assert_eq(data.incarnation(), 7);
        log_store store(data, "domain", 150);
        cr_assert(areEqual(store.load(), model.state));
        model.apply(call);
        applyCall(store, call);
    }
    data_folder data(realFileSystem(), path, 9);
    log_store store(data, "domain");
    cr_assert(areEqual(store.load(), model.state));
    cr_assert_eq(store.discardedBytes(), 0);
    // Old segments and snapshots are removed.
    std::size_t snapshots = 0;
    for (const auto& each : std::filesystem::directory_iterator(path + "/domain"))
        snapshots += each.path().extension() == ".snap" ? 1 : 0;
    cr_assert_eq(snapshots, 1);
}

// Guards against two processes that write the same log.
Test(log_store, second_owner_is_refused)
{
    const temporary_folder folder;
    {
        const data_folder data(realFileSystem(), folder.path, 7);
        cr_assert_throw(data_folder(realFileSystem(), folder.path, 8), chervilport_error);
    }
    cr_assert_eq(data_folder(realFileSystem(), folder.path, 8).incarnation(), 7);
}

// Guards against operating system errors that are not reported.
Test(log_store, missing_file_and_full_device_are_reported)
{
    const auto files = realFileSystem();
    cr_assert_throw(files.read("/nonexistent/file"), chervilport_error);
    cr_assert_throw(files.syncFolder("/nonexistent"), chervilport_error);
    cr_assert_throw(files.list("/nonexistent"), chervilport_error);
    const file_handle full(files, files.create("/dev/full"));
    std::string message;
    try {
        files.write(full.get(), "bytes");
    } catch (const chervilport_error& error) {
        message = error.what();
    }
    cr_assert_eq(message, "write of /dev/full failed: No space left on device");
}

// Guards against groups that overwrite each other.
Test(log_store, groups_share_a_folder)
{
    fake_disk disk;
    data_folder data(disk.files(), "data", 7);
    log_store domain(data, "domain");
    log_store fleet(data, "fleet");
    domain.load();
    fleet.load();
    domain.persist(hard_state { 1, {} }, std::nullopt, entriesFrom(1, 2, 1));
    fleet.persist(hard_state { 4, {} }, std::nullopt, entriesFrom(1, 1, 4));
    cr_assert_eq(domain.load().entries.size(), 2);
    cr_assert_eq(fleet.load().hardState.term, 4);
    for (const auto* name : { "", "quarantine", "../domain", "Domain" })
        cr_assert_throw(log_store(data, name), chervilport_error);
}

// Guards against a load that fails because a crash interrupted a write.
Test(log_store, torn_tail_is_cut_off_and_counted)
{
    fake_disk intact;
    writeExample(intact);
    auto cut = intact;
    auto& content = cut.content(firstSegment);
    content.resize(content.size() - 1000);
    data_folder data(cut.files(), "data", 8);
    log_store store(data, "domain");
    cr_assert_eq(store.load().entries.size(), 2);
    cr_assert_gt(store.discardedBytes(), 900);
    cr_assert_eq(store.load().entries.size(), 2);
    cr_assert_eq(store.discardedBytes(), 0);
}

// Guards against damage that is ignored or treated as a torn tail: for each single changed byte, `load` throws with
// file and offset, except that a changed length of the last record may be treated as an incomplete write.
Test(log_store, every_damaged_byte_of_synced_records_is_refused)
{
    fake_disk intact;
    writeExample(intact);
    const auto size = intact.content(firstSegment).size();
    for (std::size_t position = 0; position < size; ++position) {
        auto disk = intact;
        disk.content(firstSegment)[position] ^= 0x20;
        const auto loadError = loadErrorOf(disk);
        if (loadError.empty()) {
            // A length beyond the end of the file looks like an incomplete write.
            const auto lengthOfLastRecord = size - 2044 + 4;
            cr_assert(position >= lengthOfLastRecord && position < lengthOfLastRecord + 4);
            continue;
        }
        cr_assert(loadError.find(firstSegment) != std::string::npos);
        cr_assert(loadError.find("offset") != std::string::npos);
    }
}

// Guards against a truncated segment that is accepted although a later segment exists: all its records were synced, so
// it cannot be a torn write.
Test(log_store, torn_write_before_the_last_segment_is_refused)
{
    fake_disk disk;
    writeExample(disk, 100);
    cr_assert_gt(disk.paths("data/domain").size(), 2);
    auto& content = disk.content(firstSegment);
    content.resize(content.size() - 1);
    cr_assert(!loadErrorOf(disk).empty());
}

// Guards against missing files that are not detected: a segment, a snapshot or the entire log.
Test(log_store, missing_files_are_refused)
{
    fake_disk intact;
    {
        data_folder data(intact.files(), "data", 7);
        log_store store(data, "domain", 100);
        store.load();
        for (std::uint64_t index = 1; index <= 8; ++index)
            store.persist(hard_state { index, {} }, std::nullopt, entriesFrom(index, 1, index));
        store.saveSnapshot(snapshotAt(3, 3));
    }
    const auto paths = intact.paths("data/domain");
    cr_assert_gt(paths.size(), 3);
    // Without the last segment, the log looks as if its last writes were never made; this cannot be detected.
    const auto& lastSegment = paths[paths.size() - 2];
    for (const auto& path : paths) {
        auto disk = intact;
        disk.files().remove(path);
        cr_assert_eq(loadErrorOf(disk).empty(), path == lastSegment, "%s", path.c_str());
    }
    auto empty = intact;
    for (const auto& path : paths)
        empty.files().remove(path);
    cr_assert(!loadErrorOf(empty).empty());
}

// Guards against a damaged snapshot that is loaded.
Test(log_store, damaged_snapshot_is_refused)
{
    fake_disk disk;
    {
        data_folder data(disk.files(), "data", 7);
        log_store store(data, "domain");
        store.load();
        store.persist(std::nullopt, std::nullopt, entriesFrom(1, 3, 1));
        store.saveSnapshot(snapshotAt(2, 1));
    }
    disk.content("data/domain/snapshot-00000000000000000002.snap")[40] ^= 1;
    cr_assert(loadErrorOf(disk).find("snapshot-00000000000000000002.snap at offset 0") != std::string::npos);
}

// Guards against a quarantine that deletes data or keeps the incarnation.
Test(log_store, quarantine_moves_the_data_and_renews_the_incarnation)
{
    fake_disk disk;
    writeExample(disk);
    const auto before = disk.content(firstSegment);
    data_folder data(disk.files(), "data", 8);
    const auto movedTo = log_store::quarantine(data, "domain", 5);
    cr_assert_eq(data.incarnation(), 8);
    cr_assert_eq(disk.content(movedTo + "/segment-00000000000000000001.log"), before);
    log_store store(data, "domain");
    cr_assert(areEqual(store.load(), {}));
    cr_assert_neq(log_store::quarantine(data, "domain", 20), movedTo);
    cr_assert_eq(data.incarnation(), 20);
}

// Guards against replacing a damaged incarnation file, which could reuse an old incarnation.
Test(log_store, damaged_incarnation_is_refused)
{
    fake_disk disk;
    writeExample(disk);
    disk.content("data/incarnation")[20] ^= 1;
    cr_assert_throw(data_folder(disk.files(), "data", 8), chervilport_error);
}

// Guards against accepting entries that leave a gap, which would make the log unreadable at the next start.
Test(log_store, gaps_are_refused_and_the_store_stays_usable)
{
    fake_disk disk;
    data_folder data(disk.files(), "data", 7);
    log_store store(data, "domain");
    cr_assert_throw(store.persist(hard_state { 1, {} }, std::nullopt, {}), chervilport_error);
    store.load();
    cr_assert_throw(store.persist(std::nullopt, std::nullopt, entriesFrom(2, 1, 1)), chervilport_error);
    cr_assert_throw(store.persist(std::nullopt, snapshotAt(5, 1), entriesFrom(7, 1, 1)), chervilport_error);
    auto jump = entriesFrom(1, 2, 1);
    jump[1].index = 3;
    cr_assert_throw(store.persist(std::nullopt, std::nullopt, jump), chervilport_error);
    const auto operations = disk.operations;
    store.persist(std::nullopt, std::nullopt, {});
    cr_assert_eq(disk.operations, operations);
    store.persist(std::nullopt, std::nullopt, entriesFrom(1, 1, 1));
    cr_assert_eq(store.load().entries.size(), 1);
}
