#include "tests/control/fake_pool.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::control_tests;

namespace {

constexpr int workers = 12;
/// The start after which a task that crashes workers counts as endless: the third one after three crashes.
constexpr int endlessStarts = 6;
const batch::task_ref deadlyTask { "deadly", 0, 0, 0 };

bool hasEnded(const fake_pool& pool) { return pool.job("deadly").phase != batch::job_phase::Active; }

} // namespace

// Guards against a task that crashes one worker after the other because runs that are lost with a worker never count.
Test(crashLoop, taskThatCrashesWorkersIsGivenUp)
{
    fake_pool pool(workers);
    pool.makeDeadly(deadlyTask);
    pool.submit("deadly", 1, 8);
    pool.runUntil([&] { return hasEnded(pool) || pool.startsOf(deadlyTask) >= endlessStarts; });
    cr_assert_lt(pool.startsOf(deadlyTask), endlessStarts);
    cr_assert(pool.job("deadly").phase == batch::job_phase::Failed);
}

// Guards against a count of crashes that is lost with the leader: the leader changes after each second start.
Test(crashLoop, taskThatCrashesWorkersIsGivenUpAcrossChangesOfTheLeader)
{
    fake_pool pool(workers);
    pool.makeDeadly(deadlyTask);
    pool.submit("deadly", 1, 8);
    for (int starts = 2; starts < endlessStarts && !hasEnded(pool); starts += 2) {
        pool.runUntil([&] { return hasEnded(pool) || pool.startsOf(deadlyTask) >= starts; });
        pool.changeLeader();
    }
    pool.runUntil([&] { return hasEnded(pool) || pool.startsOf(deadlyTask) >= endlessStarts; });
    cr_assert_lt(pool.startsOf(deadlyTask), endlessStarts);
    cr_assert(pool.job("deadly").phase == batch::job_phase::Failed);
}

// Guards against a task that is given up because its worker crashes by itself: a worker that has crashed lately does
// not show that the task is the cause.
Test(crashLoop, taskOnAWorkerThatCrashesByItselfIsKept)
{
    fake_pool pool(1);
    pool.submit("job", 1, 8);
    const batch::task_ref task { "job", 0, 0, 0 };
    for (int starts = 1; starts <= 3; ++starts) {
        cr_assert(pool.runUntil([&] { return pool.startsOf(task) == starts; }));
        pool.crash(pool.workerOf(task));
    }
    cr_assert(pool.runUntil([&] { return pool.startsOf(task) == 4; }));
    cr_assert(pool.job("job").phase == batch::job_phase::Active);
}

// Guards against tasks that are given up with the deadly task because they are placed beside it again after each crash.
Test(crashLoop, tasksBesideADeadlyOneAreKept)
{
    fake_pool pool(workers);
    pool.makeDeadly(deadlyTask);
    pool.submit("beside", 1, 2);
    pool.submit("other", 1, 2);
    pool.submit("deadly", 1, 2);
    cr_assert(pool.runUntil([&] { return hasEnded(pool); }));
    cr_assert(pool.job("deadly").phase == batch::job_phase::Failed);
    cr_assert(pool.job("beside").phase == batch::job_phase::Active);
    cr_assert(pool.job("other").phase == batch::job_phase::Active);
    // The first crash is under all of them, and the second one under the deadly task alone.
    cr_assert_eq(pool.startsOf(deadlyTask), 2);
}

// Guards against a task that crashes one worker after the other because its start requests never have a response, so
// that no worker is known to have executed it.
Test(crashLoop, taskThatCrashesWorkersBeforeTheyRespondIsGivenUp)
{
    fake_pool pool(workers);
    pool.makeDeadlyBeforeResponse(deadlyTask);
    pool.submit("deadly", 1, 8);
    pool.runUntil([&] { return hasEnded(pool) || pool.startsOf(deadlyTask) >= endlessStarts; });
    cr_assert_lt(pool.startsOf(deadlyTask), endlessStarts);
    cr_assert(pool.job("deadly").phase == batch::job_phase::Failed);
}
