#pragma once

#include "chervilport/consensus/persisted_state.h"
#include "chervilport/consensus/replica.h"

#include <functional>

namespace chervilport {

/// Durable state of a replication group as a set of functions, so that tests and instances without a disk can replace
/// it. Every function may throw chervilport_error of kind StorageFailure; after that the group acknowledges nothing
/// more.
struct group_storage {
    /// Returns what was stored before the start.
    std::function<persisted_state()> load;
    /// Stores term, vote, received snapshot and entries of an output; durable on return.
    std::function<void(const replica_output&)> persist;
    /// Stores a snapshot taken locally; older entries may be dropped after it.
    std::function<void(const snapshot&)> saveSnapshot;
};

/// Returns storage that keeps nothing, for an instance without a disk.
group_storage makeVolatileStorage();

} // namespace chervilport
