#include "tests/soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <random>

namespace chervilport::soak {

namespace {

    /// Mean time between two series of faults.
    constexpr std::chrono::milliseconds meanGap { 1'400 };
    constexpr std::chrono::milliseconds minFaultLength { 100 };
    constexpr std::chrono::milliseconds maxFaultLength { 4'000 };
    /// Bounds of the time between two faults of a series.
    constexpr std::chrono::milliseconds minRepeatDelay { 150 };
    constexpr std::chrono::milliseconds maxRepeatDelay { 1'500 };
    constexpr double seriesProbability = 0.3;
    constexpr int maxSeriesLength = 4;
    constexpr std::size_t targets = 60;

} // namespace

std::string_view nameOf(fault_kind kind)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(fault_kind::Count)> names { "kill_core",
        "pause_core", "stop_core", "wipe_core", "kill_all_cores", "cut_core", "cut_core_one_way", "fill_disk",
        "kill_entry", "pause_entry", "stop_entry", "cut_entry", "reset_links", "silence_links", "slow_links", "reload",
        "crash_executor", "restart_executor", "cut_executor", "lose_answers", "delay_orders", "fail_runs",
        "drain_executor" };
    assert(kind < fault_kind::Count);
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> makeFaultPlan(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(1.0 / static_cast<double>(meanGap.count()));
    std::uniform_int_distribution<std::int64_t> duration(minFaultLength.count(), maxFaultLength.count());
    std::uniform_int_distribution<std::int64_t> repeat(minRepeatDelay.count(), maxRepeatDelay.count());
    std::uniform_int_distribution<std::size_t> kind(0, static_cast<std::size_t>(fault_kind::Count) - 1);
    std::uniform_int_distribution<std::size_t> target(0, targets - 1);
    std::uniform_int_distribution<int> seriesLength(2, maxSeriesLength);
    std::bernoulli_distribution isSeries(seriesProbability);

    std::vector<planned_fault> plan;
    auto next = std::chrono::milliseconds(static_cast<std::int64_t>(gap(random)));
    while (next < length) {
        const auto chosen = static_cast<fault_kind>(kind(random));
        const int times = isSeries(random) ? seriesLength(random) : 1;
        auto at = next;
        for (int i = 0; i < times && at < length; ++i) {
            plan.push_back({ chosen, at, std::chrono::milliseconds(duration(random)), target(random) });
            at += std::chrono::milliseconds(repeat(random));
        }
        next += std::chrono::milliseconds(static_cast<std::int64_t>(gap(random)));
    }
    std::stable_sort(plan.begin(), plan.end(),
        [](const planned_fault& left, const planned_fault& right) { return left.at < right.at; });
    return plan;
}

} // namespace chervilport::soak
