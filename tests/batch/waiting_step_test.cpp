#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

// Load: more jobs of one queue than the workers can take. Guards against an operator who cannot see behind what a job
// waits.
Test(waitingSteps, nameTheNumberOfStepsAheadAndTheFirstOne)
{
    fake_site site;
    site.addWorkers(1);
    const auto running = site.submit(normalQueue, { stepOf(8, 1) });
    site.pass();
    site.advance(100);
    const auto first = site.submit(normalQueue, { stepOf(8, 1) });
    site.advance(100);
    const auto second = site.submit(normalQueue, { stepOf(8, 1) });
    const auto waiting = site.pass().waiting;
    cr_assert_eq(waiting.size(), 2);
    cr_assert(waiting.front().job == first);
    cr_assert_eq(waiting.front().ahead, 0);
    cr_assert(waiting.front().firstAhead.empty());
    cr_assert(waiting.back().job == second);
    cr_assert_eq(waiting.back().ahead, 1);
    cr_assert(waiting.back().firstAhead == first);
    cr_assert_eq(waiting.back().tasks, 8);
    cr_assert_eq(site.activeRuns(running).size(), 8);
}

// Guards against a step of which some tasks run that is not reported as waiting, or with all its tasks.
Test(waitingSteps, countOnlyTheTasksWithoutRoom)
{
    fake_site site;
    site.addWorkers(1);
    const auto wide = site.submit(normalQueue, { stepOf(10, 1) });
    const auto waiting = site.pass().waiting;
    cr_assert_eq(site.activeRuns(wide).size(), 8);
    cr_assert_eq(waiting.size(), 1);
    cr_assert_eq(waiting.front().tasks, 2);
}
