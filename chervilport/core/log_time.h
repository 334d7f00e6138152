#pragma once

#include <chrono>

namespace chervilport {

/// Clock of the decision cores. It is monotonic and starts at an arbitrary zero. Within a failure domain it is the time
/// that the leader writes into the replicated log.
struct log_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<log_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard
};

/// A point in log time, in microseconds.
using log_time = log_clock::time_point;

/// A duration of log time, in microseconds.
using log_duration = log_clock::duration;

} // namespace chervilport
