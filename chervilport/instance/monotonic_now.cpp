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

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count();
}

} // namespace chervilport
