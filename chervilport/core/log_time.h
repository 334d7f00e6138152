#pragma once

#include <chrono>

namespace chervilport {

/// Time base of the decision cores. It never goes backwards and starts at an arbitrary zero; on a domain it is the
/// time stamped into the replicated log by the leader.
struct log_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<log_clock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard
};

/// A point in log time, in microseconds.
using log_time = log_clock::time_point;

/// A length of log time, in microseconds.
using log_duration = log_clock::duration;

} // namespace chervilport
