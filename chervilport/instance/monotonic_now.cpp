#include "chervilport/instance/monotonic_now.h"

namespace chervilport {

log_time monotonicNow()
{
    return log_time(std::chrono::duration_cast<log_duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

log_time wallNow()
{
    return log_time(std::chrono::duration_cast<log_duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace chervilport
