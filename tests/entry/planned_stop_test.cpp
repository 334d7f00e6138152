#include "chervilport/entry/planned_stop.h"

#include <asio/io_context.hpp>
#include <criterion/criterion.h>
#include <string>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against an instance that closes its connections without time for the balancer, or ends twice.
Test(plannedStop, connectionsCloseBeforeTheEnd)
{
    asio::io_context context;
    std::string order;
    planned_stop stop(context, 1'000ms,
        { [&](const std::function<void()>& closed) {
             order += "close ";
             closed();
         },
            [&] { order += "end "; } });
    cr_assert(!stop.hasBegun());
    stop.begin();
    stop.begin();
    cr_assert(stop.hasBegun());
    cr_assert(order.empty());
    context.run();
    cr_assert(order == "close end ", "%s", order.c_str());
}

// Guards against an instance that waits for a connection that never ends until it is killed.
Test(plannedStop, endsInTimeWithAConnectionLeft)
{
    asio::io_context context;
    int ends = 0;
    planned_stop stop(context, 800ms, { [](const std::function<void()>&) {}, [&] { ++ends; } });
    stop.begin();
    context.run();
    cr_assert_eq(ends, 1);
}
