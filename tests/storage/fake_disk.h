#pragma once

#include "chervilport/storage/file_system.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilport {

/// Thrown by the fake to simulate a power loss.
struct simulated_crash { };

/// State of the unsynced bytes of a file after a crash.
enum class unsynced_bytes {
    Lost,
    Kept,
    /// Only the first half was written.
    Half,
    /// The first sector reads as zeros, the others were written.
    FirstSectorZero,
    /// The last sector reads as zeros, the others were written.
    LastSectorZero,
};

/// An in-memory disk that tracks synced and unsynced changes of file contents and of names in folders.
class fake_disk {
public:
    /// Returns operations on this disk, which must outlive them.
    file_system files();

    /// Number of modifying operations so far.
    std::size_t operations = 0;
    /// The operation with this number throws `simulated_crash`, and so do all later ones.
    std::size_t crashAt = SIZE_MAX;
    /// The operations from this number on fail as on a full disk.
    std::size_t failFrom = SIZE_MAX;
    /// The operations from this number on succeed again.
    std::size_t failUntil = SIZE_MAX;

    /// Returns every disk state that a crash can cause now: each state of unsynced bytes combined with each subset of
    /// the unsynced name changes.
    std::vector<std::shared_ptr<fake_disk>> crashStates() const;

    /// Returns the synced content of a file, to read or damage it.
    std::string& content(const std::string& path);
    /// Returns the paths of all files and folders in a folder.
    std::vector<std::string> paths(const std::string& folder);

private:
    using folder_id = int;

    struct stored_file {
        std::string synced;
        std::string unsynced;
        /// Whether a sync failed. The unsynced bytes can still be read, but later syncs succeed without writing them,
        /// as on a kernel that dropped the pages it could not write.
        bool syncFailed = false;
    };

    /// A change of one name; `target` is a file or folder id, -1 removes the name.
    struct name_effect {
        folder_id folder;
        std::string name;
        int target;
    };

    using name_change = std::vector<name_effect>;
    using name_table = std::map<folder_id, std::map<std::string, int>>;

    struct name_location {
        folder_id folder;
        std::string name;
    };

    void countOperation(const std::string& path);
    name_location locate(const std::string& path) const;
    int find(const std::string& path) const;
    int require(const std::string& path) const;
    void change(name_change);
    static void apply(name_table&, const name_change&);
    static std::string contentAfterCrash(const stored_file&, unsynced_bytes);

    // Files and folders share one range of ids; 0 is the root.
    int m_nextId = 1;
    std::map<int, stored_file> m_files;
    name_table m_names { { 0, {} } };
    name_table m_syncedNames { { 0, {} } };
    std::vector<name_change> m_unsyncedNames;
};

} // namespace chervilport
