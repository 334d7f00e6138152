#pragma once

namespace chervilport {

struct schedule_state;

/// Checks that the references between the records of a decoded state are valid. Throws chervilport_error of kind
/// StorageFailure otherwise.
void checkState(const schedule_state&);

} // namespace chervilport
