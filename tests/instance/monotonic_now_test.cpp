#include "chervilport/instance/monotonic_now.h"

#include <criterion/criterion.h>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

/// Time for which the machine seems to have been suspended, in seconds.
time_t suspendedSeconds = 0;

} // namespace

/// Replaces the function of the C library: only the clock that counts suspended time moves on during a suspension.
extern "C" int clock_gettime(clockid_t clock, timespec* reading) noexcept
{
    const auto result = syscall(SYS_clock_gettime, clock, reading);
    if (clock == CLOCK_BOOTTIME)
        reading->tv_sec += suspendedSeconds;
    return static_cast<int>(result);
}

// Guards against a leader that was suspended for some seconds and acts on a lease that has expired meanwhile.
Test(monotonicNow, countsTheTimeOfASuspension)
{
    const auto before = monotonicNow();
    suspendedSeconds = 5;
    cr_assert_geq((monotonicNow() - before).count(), log_duration(5s).count());
}
