#pragma once

#include "chervilport/consensus/persisted_state.h"
#include "chervilport/consensus/replica.h"

#include <functional>

namespace chervilport {

/// Durable state of a replication group as a set of functions, so that tests and instances without a disk can replace
/// it. Every function may throw chervilport_error of kind StorageFailure; the group then acknowledges nothing
/// more.
struct group_storage {
    /// Returns the stored state at startup.
    std::function<persisted_state()> load;
    /// Stores term, vote, received snapshot and entries of an output; durable on return.
    std::function<void(const replica_output&)> persist;
    /// Stores a snapshot taken locally; entries that it covers may be removed afterwards.
    std::function<void(const snapshot&)> saveSnapshot;
};

/// Returns storage that persists nothing, for an instance without a disk.
group_storage makeVolatileStorage();

} // namespace chervilport
