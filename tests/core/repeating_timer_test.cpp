#include "chervilport/core/repeating_timer.h"

#include <asio/io_context.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against a timer that stops after its first call.
Test(repeatingTimer, callsUntilItIsStopped)
{
    asio::io_context context;
    repeating_timer timer(context, 1ms);
    int calls = 0;
    timer.start([&] {
        if (++calls == 3)
            timer.stop();
    });
    context.run();
    cr_assert_eq(calls, 3);
}

// Guards against a use of the timer after its call has destroyed it.
Test(repeatingTimer, callMayDestroyItsTimer)
{
    asio::io_context context;
    std::optional<repeating_timer> timer;
    timer.emplace(context, 1ms);
    int calls = 0;
    timer->start([&] {
        ++calls;
        timer.reset();
    });
    context.run();
    cr_assert_eq(calls, 1);
}

// Guards against a call that was due when the timer was stopped and still happens.
Test(repeatingTimer, stoppedTimerDoesNotCall)
{
    asio::io_context context;
    repeating_timer timer(context, 0ms);
    int calls = 0;
    timer.start([&] { ++calls; });
    timer.stop();
    context.run();
    cr_assert_eq(calls, 0);
}
