#include "chervilport/instance/monotonic_now.h"

#include <cassert>
#include <ctime>

namespace chervilport {

log_time monotonicNow()
{
    // The steady clock stands still while the machine is suspended, and leases would seem to last longer.
    timespec reading {};
    [[maybe_unused]] const auto result = clock_gettime(CLOCK_BOOTTIME, &reading);
    assert(result == 0);
    const auto sinceBoot = std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return log_time(std::chrono::duration_cast<log_duration>(sinceBoot));
}

log_time wallNow()
{
    return log_time(std::chrono::duration_cast<log_duration>(std::chrono::system_clock::now().time_since_epoch()));
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count();
}

} // namespace chervilport
