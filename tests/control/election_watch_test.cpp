#include "chervilport/control/election_watch.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = 100ms;
constexpr log_time start { 1h };

} // namespace

// Guards against a group that cannot elect and says nothing, and against one that logs each tick.
Test(electionWatch, absenceOfALeaderIsReportedOnceASecond)
{
    election_watch watch;
    recordTick(watch, start, tick, true);
    int reports = 0;
    for (auto now = start + tick; now <= start + 5s; now += tick) {
        recordTick(watch, now, tick, false);
        reports += takeAbsenceReport(watch, now) ? 1 : 0;
    }
    cr_assert_eq(reports, 5);
    recordTick(watch, start + 6s, tick, true);
    cr_assert(!takeAbsenceReport(watch, start + 6s));
}

// Guards against an operator who cannot see that a member is too busy to answer in an election.
Test(electionWatch, longestLagOfTheLoopIsKeptUntilItIsTaken)
{
    election_watch watch;
    recordTick(watch, start, tick, true);
    recordTick(watch, start + 1'000ms, tick, true);
    recordTick(watch, start + 1'100ms, tick, true);
    cr_assert(takeLongestLag(watch) == 900ms);
    cr_assert(takeLongestLag(watch) == 0ms);
}
