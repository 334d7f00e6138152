#pragma once

#include "chervilport/core/log_time.h"

#include <cstdint>

namespace chervilport {

/// Returns the local monotonic clock as log time, for timers and leases; its epoch is arbitrary. It also counts the
/// time for which the machine is suspended.
log_time monotonicNow();

/// Returns the wall clock as log time, in microseconds since 1970-01-01 UTC.
log_time wallNow();

/// Returns the wall clock in milliseconds since 1970-01-01 UTC.
std::int64_t wallMs();

} // namespace chervilport
