#include "chervilport/routing/slot_division.h"
#include "chervilport/routing/slot_holder.h"
#include "chervilport/routing/slot_ledger.h"

#include <criterion/criterion.h>
#include <numeric>
#include <rapidcheck.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr std::int32_t executorSlots = 8;

std::vector<ledger_executor> makeExecutors(std::uint64_t count)
{
    std::vector<ledger_executor> executors;
    for (std::uint64_t i = 0; i < count; ++i)
        executors.push_back({ { "executor" + std::to_string(i), 1 }, "pairing", executorSlots });
    return executors;
}

// A request that runs at an executor; it may outlive its instance.
struct running_request {
    std::size_t instance;
    std::uint64_t incarnation;
    upstream_id executor;
    log_time endsAt;
};

// Instances and a leader, with messages that can be delayed, lost and reordered.
struct simulated_domain {
    explicit simulated_domain(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i)
            holders.push_back({ "instance" + std::to_string(i), 1, 0, {}, {} });
        setExecutors(ledger, executors);
    }

    void report(std::size_t i, std::int32_t demand)
    {
        reports.emplace_back(i, makeReport(holders[i], { { "pairing", demand } }, now));
    }

    void deliverReport(std::size_t index)
    {
        const auto [i, report] = reports[index];
        reports.erase(reports.begin() + static_cast<std::ptrdiff_t>(index));
        if (const auto grant = processReport(ledger, report, now))
            grants.emplace_back(i, report.incarnation, *grant);
    }

    void deliverGrant(std::size_t index)
    {
        const auto [i, incarnation, grant] = grants[index];
        grants.erase(grants.begin() + static_cast<std::ptrdiff_t>(index));
        if (incarnation == holders[i].incarnation)
            applyGrant(holders[i], grant);
    }

    // Every instance reports, and all messages are delivered.
    void exchange(const std::vector<std::int32_t>& demand)
    {
        for (std::size_t i = 0; i < holders.size(); ++i) {
            report(i, demand[i]);
            deliverReport(0);
            deliverGrant(0);
        }
    }

    // Starts a request on every free slot of the executor in the share of the instance.
    void startAll(std::size_t i, const upstream_id& executor, log_duration length)
    {
        while (acquireSlot(holders[i], executor, now))
            running.push_back({ i, holders[i].incarnation, executor, now + length });
    }

    void restart(std::size_t i) { holders[i] = { holders[i].instance, holders[i].incarnation + 1, 0, {}, {} }; }

    void changeLeader()
    {
        std::set<std::string> names;
        for (const auto& holder : holders)
            names.insert(holder.instance);
        ledger = makeLedger(ledger.settings, names, now);
        setExecutors(ledger, executors);
    }

    void advance(log_duration time)
    {
        now += time;
        std::erase_if(running, [&](const auto& request) {
            const bool hasEnded = request.endsAt <= now;
            if (hasEnded && holders[request.instance].incarnation == request.incarnation)
                releaseSlot(holders[request.instance], request.executor);
            return hasEnded;
        });
    }

    std::int32_t runningAt(const upstream_id& executor) const
    {
        return static_cast<std::int32_t>(std::count_if(
            running.begin(), running.end(), [&](const auto& request) { return request.executor == executor; }));
    }

    std::int32_t usable(std::size_t i) const
    {
        std::int32_t sum = 0;
        for (const auto& executor : executors)
            sum += usableSlots(holders[i], executor.id, now);
        return sum;
    }

    slot_ledger ledger = makeLedger({}, {}, log_time(1s));
    std::vector<slot_holder> holders;
    std::vector<ledger_executor> executors = makeExecutors(4);
    std::vector<std::pair<std::size_t, share_report>> reports;
    std::vector<std::tuple<std::size_t, std::uint64_t, share_grant>> grants;
    std::vector<running_request> running;
    log_time now = log_time(1s);
};

} // namespace

// Guards against instances that together use more slots than an executor has, while messages are lost, delayed and
// reordered, instances are isolated or restart, and the leader changes.
Test(slotShares, togetherNeverExceedSlots)
{
    cr_assert(rc::check([] {
        simulated_domain run(3);
        const std::vector<std::int32_t> demands = { 0, 5, 40 };
        for (int step = 0; step < 400; ++step) {
            const auto i = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            const auto& executor = run.executors[static_cast<std::size_t>(*rc::gen::inRange(0, 4))].id;
            const auto kind = *rc::gen::inRange(0, 200);
            if (kind < 60)
                run.report(i, *rc::gen::elementOf(demands));
            else if (kind < 110 && !run.reports.empty())
                run.deliverReport(*rc::gen::inRange<std::size_t>(0, run.reports.size()));
            else if (kind < 150 && !run.grants.empty())
                run.deliverGrant(*rc::gen::inRange<std::size_t>(0, run.grants.size()));
            else if (kind < 170)
                run.startAll(i, executor, std::chrono::seconds(*rc::gen::inRange(1, 31)));
            else if (kind < 195)
                run.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
            else if (kind < 198)
                run.advance(std::chrono::seconds(*rc::gen::inRange(5, 40)));
            else if (kind == 198)
                run.restart(i);
            else
                run.changeLeader();
            for (const auto& some : run.executors)
                RC_ASSERT(run.runningAt(some.id) <= executorSlots);
        }
    }));
}

// Guards against uneven initial shares, and against shares that do not follow the demand.
Test(slotShares, startEvenAndFollowDemand)
{
    simulated_domain run(3);
    for (int i = 0; i < 3; ++i) {
        run.exchange({ 0, 0, 0 });
        run.advance(300ms);
    }
    for (std::size_t i = 0; i < 3; ++i)
        cr_assert(run.usable(i) >= 10 && run.usable(i) <= 11);
    for (int i = 0; i < 3; ++i) {
        run.exchange({ 30, 0, 0 });
        run.advance(300ms);
    }
    cr_assert(run.usable(0) >= 27);
    cr_assert(run.usable(1) >= 2 && run.usable(2) >= 2);
    cr_assert_eq(run.usable(0) + run.usable(1) + run.usable(2), 32);
}

// Guards against slots that move with every small change of demand, and against a large change without effect.
Test(slotShares, smallChangesMoveNoSlots)
{
    simulated_domain run(2);
    const auto usableAfter = [&](std::int32_t demand) {
        for (int i = 0; i < 3; ++i) {
            run.exchange({ demand, 100 });
            run.advance(300ms);
        }
        return run.usable(0);
    };
    cr_assert_eq(usableAfter(100), 16);
    cr_assert_eq(usableAfter(112), 16);
    cr_assert_eq(usableAfter(95), 16);
    cr_assert_geq(usableAfter(200), 19);
}

// Guards against an isolated instance that uses its shares after their lease, and against slots that are never granted
// again.
Test(slotShares, sharesOfIsolatedInstanceEndAndReturn)
{
    simulated_domain run(2);
    for (int i = 0; i < 3; ++i) {
        run.exchange({ 5, 5 });
        run.advance(300ms);
    }
    cr_assert_eq(run.usable(1), 16);
    for (int second = 0; second < 45; ++second) {
        run.advance(1s);
        run.report(0, 50);
        run.deliverReport(0);
        run.deliverGrant(0);
        if (second == 5)
            cr_assert_eq(run.usable(1), 16);
        if (second == 15)
            cr_assert(run.usable(1) == 0 && run.usable(0) == 16);
    }
    cr_assert_eq(run.usable(0), 32);
}

// Guards against a new leader that grants slots which an unreported instance may still use.
Test(slotShares, newLeaderWaitsForUnreportedInstances)
{
    simulated_domain run(2);
    for (int i = 0; i < 3; ++i) {
        run.exchange({ 5, 5 });
        run.advance(300ms);
    }
    run.changeLeader();
    run.report(0, 50);
    run.deliverReport(0);
    run.deliverGrant(0);
    cr_assert_eq(run.usable(0), 16);
    run.exchange({ 50, 0 });
    run.advance(300ms);
    run.exchange({ 50, 0 });
    run.exchange({ 50, 0 });
    cr_assert_geq(run.usable(0), 28);
}

// Guards against rounding that loses or adds slots, or that favours an instance.
Test(slotDivision, conservesSlotsAndFollowsWeights)
{
    cr_assert(rc::check([] {
        const auto slots = *rc::gen::container<std::vector<std::int32_t>>(rc::gen::inRange(0, 20));
        const auto tenths = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)));
        const std::vector<double> weights(tenths.begin(), tenths.end());
        const auto rows = divideSlots(slots, weights);
        const auto total = std::accumulate(slots.begin(), slots.end(), 0);
        const auto weightSum = std::accumulate(weights.begin(), weights.end(), 0.0);
        std::vector<std::int32_t> sums(weights.size());
        for (std::size_t e = 0; e < slots.size(); ++e) {
            RC_ASSERT(std::accumulate(rows[e].begin(), rows[e].end(), 0) == slots[e]);
            for (std::size_t i = 0; i < weights.size(); ++i) {
                RC_ASSERT(rows[e][i] >= 0);
                sums[i] += rows[e][i];
            }
        }
        for (std::size_t i = 0; i < weights.size(); ++i)
            RC_ASSERT(std::abs(sums[i] - total * weights[i] / weightSum) <= 2);
    }));
}
