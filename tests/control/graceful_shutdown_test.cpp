#include "chervilport/control/graceful_shutdown.h"

#include <asio/io_context.hpp>
#include <criterion/criterion.h>
#include <string>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr shutdown_times shortTimes { 100ms, 40ms, 10ms, 20ms };

/// Stages that complete at once and record their order.
graceful_shutdown::stages recordingStages(std::string& order)
{
    return { [&order](const std::function<void()>& done) {
                order += "hand over ";
                done();
            },
        [&order](std::chrono::milliseconds, const std::function<void()>& closed) {
            order += "close ";
            closed();
        },
        [&order] { order += "end "; } };
}

} // namespace

// Guards against an instance that closes its connections before the handover is complete, or ends twice.
Test(gracefulShutdown, stagesFollowEachOther)
{
    asio::io_context context;
    std::string order;
    graceful_shutdown stop(context, shortTimes, recordingStages(order));
    cr_assert(!stop.hasBegun());
    stop.begin();
    stop.begin();
    cr_assert(stop.hasBegun());
    cr_assert(order == "hand over ", "%s", order.c_str());
    context.run();
    cr_assert(order == "hand over close end ", "%s", order.c_str());
}

// Guards against an instance that waits for a connection that never closes until it is killed.
Test(gracefulShutdown, endsInTimeWithAConnectionLeft)
{
    asio::io_context context;
    std::string order;
    auto stages = recordingStages(order);
    stages.closeConnections = [](std::chrono::milliseconds, const std::function<void()>&) {};
    graceful_shutdown stop(context, shortTimes, stages);
    stop.begin();
    context.run();
    cr_assert(order == "hand over end ", "%s", order.c_str());
}

// Guards against an instance that waits for another leader until it is killed, and against a late handover that
// continues the shutdown after its end.
Test(gracefulShutdown, endsInTimeWithoutAnotherLeader)
{
    asio::io_context context;
    std::string order;
    std::function<void()> handedOver;
    auto stages = recordingStages(order);
    stages.handOver = [&](std::function<void()> done) { handedOver = std::move(done); };
    graceful_shutdown stop(context, shortTimes, stages);
    stop.begin();
    context.run();
    cr_assert(order == "end ", "%s", order.c_str());
    context.restart();
    handedOver();
    context.run();
    cr_assert(order == "end ", "%s", order.c_str());
}

// Guards against an entry instance that refuses calls while its load balancer still sends some, and against times that
// exceed the grace period.
Test(gracefulShutdown, entryInstancesServeDuringTheDrainDelay)
{
    const auto times = entryShutdownTimes(6'000ms);
    cr_assert_geq(times.drainDelay.count(), 2'000);
    cr_assert_lt(times.drainDelay.count() + times.idle.count() + times.endMargin.count(), times.grace.count());
    cr_assert_eq(controlShutdownTimes(6'000ms).drainDelay.count(), 0);
}
