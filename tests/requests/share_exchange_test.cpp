#include "chervilport/requests/share_exchange.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against an instance that reports too rarely to keep its shares or too often for its demand, and against
// executors that leave being divided further.
Test(shareExchange, reportsOnTimeAndFollowsRegistry)
{
    routing_state routing;
    routing.slots.instance = "i1";
    log_time now(1s);
    bool isWaiting = false;
    int reports = 0;
    int grants = 0;
    share_exchange_ports ports;
    ports.now = [&] { return now; };
    ports.demand = [] { return std::map<std::string, std::int32_t> { { "pairing", 5 } }; };
    ports.isWaiting = [&] { return isWaiting; };
    std::shared_ptr<share_exchange> exchange;
    ports.sendReport = [&](const share_report& report, const auto& done) {
        ++reports;
        done(exchange->answer(report));
    };
    ports.granted = [&] { ++grants; };
    exchange = std::make_shared<share_exchange>(slot_share_settings {}, routing, ports);

    const upstream_id id { "10.0.0.1:80", 1 };
    upstream_announcement announcement { id, 1, upstream_state::Ready, upstream_kind::Executor, "seattle", "pairing", 8,
        60 };
    mergeAnnouncement(routing.registry, announcement, now);
    const auto pass = [&](int steps) {
        for (int i = 0; i < steps; ++i) {
            now += 10ms;
            exchange->poll();
        }
    };
    pass(1);
    cr_assert(reports == 1 && grants == 0);
    exchange->becomeLeader({});
    pass(100);
    cr_assert_eq(reports, 3);
    cr_assert_eq(grants, 2);
    cr_assert_eq(usableSlots(routing.slots, id, now), 8);
    isWaiting = true;
    pass(100);
    cr_assert(reports >= 20 && reports <= 25, "%d", reports);
    announcement.sequence = 2;
    announcement.state = upstream_state::Leaving;
    mergeAnnouncement(routing.registry, announcement, now);
    pass(10);
    cr_assert_eq(usableSlots(routing.slots, id, now), 0);
    exchange->resign();
    const auto before = grants;
    pass(100);
    cr_assert_eq(grants, before);
}
