#include "chervilport/control/pass_pacing.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against passes over many workers that follow each other without a pause and leave no time for calls: many
// workers, each of which changes something all the time.
Test(passPacing, passesTakeAFifthOfTheTimeAtMost)
{
    for (const log_duration passTime : { 2ms, 10ms, 20ms })
        cr_assert_geq(passPauseAfter(passTime), 4 * passTime);
}

// Guards against an urgent job that waits for the next pass because the last one took long.
Test(passPacing, pauseIsBounded)
{
    cr_assert_leq(passPauseAfter(5s), 100ms);
    cr_assert_gt(passPauseAfter(0ms), 0ms);
}
