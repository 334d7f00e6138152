#pragma once

#include "chervilport/storage/file_system.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilport {

/// Thrown by the fake where the machine loses power.
struct simulated_crash { };

/// What a crash leaves of the bytes of a file that were not synced.
enum class unsynced_bytes {
    Lost,
    Kept,
    /// The first half is there.
    Half,
    /// The first sector reads as zeros, the others are there.
    FirstSectorZero,
    /// The last sector reads as zeros, the others are there.
    LastSectorZero,
};

/// A disk in memory that distinguishes what is synced from what is not, for contents and for names in folders.
class fake_disk {
public:
    /// Returns operations on this disk, which has to outlive them.
    file_system files();

    /// Number of changing operations so far.
    std::size_t operations = 0;
    /// The operation with this number throws `simulated_crash`, and so do all later ones.
    std::size_t crashAt = SIZE_MAX;
    /// The operations from this number on, and before `failUntil`, fail as on a full disk.
    std::size_t failFrom = SIZE_MAX;
    std::size_t failUntil = SIZE_MAX;

    /// Returns every disk that a crash can leave now: each treatment of unsynced bytes with each subset of the changes
    /// of names that were not synced.
    std::vector<std::shared_ptr<fake_disk>> crashStates() const;

    /// Returns the content of a file, to read or to damage it.
    std::string& content(const std::string& path);
    /// Returns the paths of all files below a folder.
    std::vector<std::string> paths(const std::string& folder);

private:
    using folder_id = int;

    struct stored_file {
        std::string synced;
        std::string unsynced;
        /// Whether a sync failed. The unsynced bytes can still be read, but later syncs report success without them, as
        /// a kernel does that dropped the pages it could not write.
        bool syncFailed = false;
    };

    /// One changed name; `target` -1 removes it.
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
