#pragma once

#include "chervilport/instance/group_storage.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chervilport {

/// Durable state of an instance: the data folder with the logs of its replication groups. An instance without a disk
/// persists nothing. Used on one thread at a time.
class instance_storage {
public:
    /// Opens the data folder; an empty path means no disk. Throws chervilport_error of kind StorageFailure when the
    /// folder is unusable or locked by another process.
    explicit instance_storage(const std::string& dataFolder);
    ~instance_storage();

    /// Returns the incarnation of this instance: kept across restarts with a disk, new at each start without one.
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Returns whether the instance has a disk.
    bool hasDisk() const;

    /// Returns whether a group has a log on disk.
    bool hasGroup(const std::string& group) const;

    /// Opens the log of a group. The storage must outlive the returned functions.
    group_storage openGroup(const std::string& group);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
    std::uint64_t m_incarnation = 0;
};

} // namespace chervilport
