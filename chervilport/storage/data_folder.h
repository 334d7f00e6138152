#pragma once

#include "chervilport/storage/file_system.h"

#include <cstdint>
#include <set>
#include <string>

namespace chervilport {

/// The folder of an instance's durable state, locked by one process at a time. It stores the incarnation and the names
/// of the groups that have a log, so that a missing log is detected.
class data_folder {
public:
    /// Creates the folder if it is missing, locks it and reads the incarnation. A folder without an incarnation gets
    /// `freshIncarnation`, which must be higher than any earlier incarnation of this instance, for example microseconds
    /// of the wall clock. Throws chervilport_error `StorageFailure` when another process has locked the folder or the
    /// incarnation file is damaged.
    data_folder(file_system, std::string path, std::uint64_t freshIncarnation);
    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;

    /// Returns the incarnation of the instance. It stays the same across restarts.
    std::uint64_t incarnation() const { return m_incarnation; }
    /// Returns whether this object created the incarnation.
    bool isFresh() const { return m_isFresh; }

    /// Returns the path of the folder.
    const std::string& path() const { return m_path; }
    /// Returns the file operations.
    const file_system& files() const { return m_files; }

    /// Returns whether the group has a log.
    bool hasGroup(const std::string& group) const { return m_groups.contains(group); }
    /// Records durably that the group has a log.
    void addGroup(const std::string& group);
    /// Removes the record of the group and sets a higher incarnation, at least `freshIncarnation`, in one durable step.
    void removeGroupAndRenewIncarnation(const std::string& group, std::uint64_t freshIncarnation);

private:
    void readIncarnation();
    void writeIncarnation(std::uint64_t incarnation, const std::set<std::string>& groups);

    const file_system m_files;
    const std::string m_path;
    file_handle m_lock;
    std::uint64_t m_incarnation = 0;
    std::set<std::string> m_groups;
    bool m_isFresh = false;
};

} // namespace chervilport
