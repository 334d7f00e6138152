#include "chervilport/transport/detail/connect_backoff.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace chervilport;

namespace {

/// Returns how many of the instances attempt to connect in each second of a minute.
std::vector<std::size_t> attemptsPerSecond(std::size_t instances, connect_result result)
{
    constexpr std::size_t seconds = 60;
    std::vector<std::size_t> attempts(seconds);
    for (std::size_t i = 0; i < instances; ++i) {
        connect_backoff backoff({}, static_cast<std::uint32_t>(i + 1));
        std::chrono::milliseconds now { 0 };
        while (now < std::chrono::seconds(seconds)) {
            ++attempts[static_cast<std::size_t>(now.count() / 1'000)];
            now += backoff.next(result);
        }
    }
    return attempts;
}

} // namespace

// Guards against a member that spends its time on refusals: 170 of 300 entry instances have no place, and come back for
// one at the shortest pause.
Test(connectBackoff, instancesWithoutAPlaceComeBackRarely)
{
    constexpr std::size_t instances = 170;
    const auto attempts = attemptsPerSecond(instances, connect_result::NoPlace);
    const auto busiest = *std::max_element(attempts.begin() + 12, attempts.end());
    cr_assert_leq(busiest, instances / 3);
}

// Guards against 300 instances that lose a member at the same moment and return together for ever.
Test(connectBackoff, instancesThatFailTogetherSpreadOut)
{
    constexpr std::size_t instances = 300;
    const transport_limits limits;
    std::vector<std::int64_t> times;
    for (std::size_t i = 0; i < instances; ++i) {
        connect_backoff backoff(limits, static_cast<std::uint32_t>(i + 1));
        std::int64_t now = 0;
        for (int attempt = 0; attempt < 10; ++attempt)
            now += backoff.next(connect_result::Failed).count();
        times.push_back(now);
    }
    std::sort(times.begin(), times.end());
    // Nine tenths of the attempts are spread over at least the longest pause.
    cr_assert_geq(times[instances * 95 / 100] - times[instances * 5 / 100], limits.maxBackoff.count());
}

// Guards against an instance that waits long after a short interruption of a connection that had lasted.
Test(connectBackoff, lastingConnectionsAreTriedAgainSoon)
{
    const transport_limits limits;
    connect_backoff backoff(limits, 7);
    for (int i = 0; i < 10; ++i)
        backoff.next(connect_result::Failed);
    cr_assert_leq(backoff.next(connect_result::Lasted).count(), limits.firstBackoff.count());
}
