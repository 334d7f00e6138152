#include "chervilport/routing/upstream_registry.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

upstream_announcement announce(std::uint64_t incarnation, std::uint64_t sequence, upstream_state state = {})
{
    return { { "10.0.0.1:80", incarnation }, sequence, state, upstream_kind::Executor, "seattle", "pairing", 8, 60 };
}

} // namespace

// Guards against instances with different entries for an upstream after receiving its announcements in different
// orders.
Test(upstreamRegistry, announcementsMergeInAnyOrder)
{
    cr_assert(rc::check([] {
        auto announcements
            = *rc::gen::container<std::vector<upstream_announcement>>(rc::gen::build<upstream_announcement>(
                rc::gen::set(&upstream_announcement::id,
                    rc::gen::construct<upstream_id>(rc::gen::element<std::string>("a", "b"), rc::gen::inRange(1, 4))),
                rc::gen::set(&upstream_announcement::sequence, rc::gen::inRange(1, 4)),
                rc::gen::set(&upstream_announcement::state,
                    rc::gen::element(upstream_state::Ready, upstream_state::Leaving, upstream_state::Gone)),
                rc::gen::set(&upstream_announcement::slots, rc::gen::inRange(1, 3))));
        upstream_registry one;
        for (const auto& announcement : announcements)
            mergeAnnouncement(one, announcement, log_time(1s));
        std::reverse(announcements.begin(), announcements.end());
        upstream_registry other;
        for (const auto& announcement : announcements) {
            mergeAnnouncement(other, announcement, log_time(1s));
            mergeAnnouncement(other, announcement, log_time(1s));
        }
        RC_ASSERT(one.entries.size() == other.entries.size());
        for (const auto& [address, entry] : one.entries)
            RC_ASSERT(entry.announcement == other.entries.at(address).announcement);
    }));
}

// Guards against work for upstreams that are leaving, have ended, no longer announce themselves or are drained.
Test(upstreamRegistry, onlyPresentReadyUpstreamsTakeWork)
{
    upstream_registry registry;
    cr_assert(mergeAnnouncement(registry, announce(1, 1), log_time(1s)) == announcement_effect::Appeared);
    cr_assert_eq(findExecutors(registry, "pairing", log_time(2s)).size(), 1);
    cr_assert(findExecutors(registry, "other", log_time(2s)).empty());
    cr_assert(findExecutors(registry, "pairing", log_time(6s)).empty());
    // A copy of an old announcement does not make an expired upstream present again.
    cr_assert(mergeAnnouncement(registry, announce(1, 1), log_time(6s)) == announcement_effect::Ignored);
    cr_assert(findExecutors(registry, "pairing", log_time(6s)).empty());
    cr_assert(mergeAnnouncement(registry, announce(1, 2), log_time(6s)) == announcement_effect::Renewed);
    cr_assert_eq(findExecutors(registry, "pairing", log_time(6s)).size(), 1);
    cr_assert(mergeAnnouncement(registry, announce(1, 3, upstream_state::Leaving), log_time(6s))
        == announcement_effect::Changed);
    cr_assert(findExecutors(registry, "pairing", log_time(6s)).empty());
    // A drain applies to the present incarnation, not to the restarted process.
    cr_assert(drainUpstream(registry, "10.0.0.1:80"));
    cr_assert(mergeAnnouncement(registry, announce(1, 4), log_time(6s)) == announcement_effect::Changed);
    cr_assert(findExecutors(registry, "pairing", log_time(6s)).empty());
    cr_assert(mergeAnnouncement(registry, announce(2, 1), log_time(7s)) == announcement_effect::Appeared);
    cr_assert_eq(findExecutors(registry, "pairing", log_time(7s)).size(), 1);
    removeAbsent(registry, log_time(20min));
    cr_assert(registry.entries.empty());
}

// Guards against announcements of invented addresses that fill the memory.
Test(upstreamRegistry, isBounded)
{
    upstream_registry registry;
    registry.settings.maxUpstreams = 1;
    mergeAnnouncement(registry, announce(1, 1), log_time(1s));
    auto other = announce(1, 1);
    other.id.address = "10.0.0.2:80";
    cr_assert(mergeAnnouncement(registry, other, log_time(1s)) == announcement_effect::Refused);
}
